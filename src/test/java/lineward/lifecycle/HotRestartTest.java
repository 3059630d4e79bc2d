package lineward.lifecycle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Maintenance commands reach the other process of a hot restart, whichever version it runs; expired and
 * malformed files have no effect.
 */
public class HotRestartTest {
    private static final class RecordingListener implements HotRestart.Listener {
        private final List<String> events = new ArrayList<>();

        @Override
        public void maintenanceChanged(String engine, boolean excluded, double sinceMs) {
            events.add(engine + (excluded ? " excluded" : " released"));
        }

        @Override
        public void quotaChanged(double quota) {
            events.add("quota " + quota);
        }
    }

    private static final String SPECIAL_CHARACTERS_ID = "engine 7/\"a\" \u00e9";

    private Path directory;
    private double nowMs = 1_000_000;

    @BeforeMethod
    public void createDirectory() throws IOException {
        directory = Files.createTempDirectory("hot-restart");
    }

    @AfterMethod(alwaysRun = true)
    public void deleteDirectory() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            files.forEach(file -> file.toFile().delete());
        }
        Files.delete(directory);
    }

    private HotRestart startProcess(RecordingListener listener) {
        nowMs++; // All have this test's process id, so only the start time distinguishes their files.
        return new HotRestart(directory, "n1", () -> nowMs, listener);
    }

    @Test
    public void laterCommandIsInEffectInBothProcessesAndAfterTheFirstEnds() {
        RecordingListener oldListener = new RecordingListener();
        HotRestart oldProcess = startProcess(oldListener);
        oldProcess.setMaintenance("s-1", true);
        oldProcess.setMaintenance("s-2", true);
        RecordingListener newListener = new RecordingListener();
        HotRestart newProcess = startProcess(newListener);
        newProcess.readPeers();
        newProcess.writeState();
        assertEquals(newListener.events, List.of("s-1 excluded", "s-2 excluded", "quota 0.5"));
        nowMs += 10;
        newProcess.setMaintenance("s-1", false);
        oldProcess.readPeers();
        List<String> oldEvents = List.of("s-1 excluded", "s-2 excluded", "s-1 released", "quota 0.5");
        assertEquals(oldListener.events, oldEvents);
        oldProcess.stop();
        oldProcess.writeState();
        newProcess.readPeers();
        assertTrue(newProcess.isExcluded("s-2"));
        assertFalse(newProcess.isExcluded("s-1"));
        assertEquals(newListener.events.subList(3, 5), List.of("s-1 released", "quota 1.0"));
    }

    /** Content of another process's file, and whether a process accepts its command to exclude s-1. */
    @DataProvider
    public Object[][] files() {
        String enginesJson = "\"engines\":{\"s-1\":{\"out\":true,\"since\":999000}}}";
        return new Object[][] {
            {"{\"at\":1000000," + enginesJson, true},
            {"{\"at\":991500," + enginesJson, true},
            {"{\"at\":980000," + enginesJson, false},
            {"{\"at\":9980000," + enginesJson, false},
            {"{" + enginesJson, false},
            {"", false},
            {"{", false},
            {"[1]", false},
            {"null", false},
            {"x".repeat(300_000), false},
            {"{\"at\":1000000,\"engines\":{\"s-1\":{\"out\":1,\"since\":999000}}}", false},
            {"{\"at\":1000000,\"engines\":{\"s-1\":7}}", false},
            {"{\"at\":1000000,\"engines\":{\"s-1\":{\"out\":true,\"since\":9e15}}}", false}
        };
    }

    @Test(dataProvider = "files")
    public void expiredAndMalformedFilesAreIgnored(String content, boolean accepted) throws IOException {
        Files.writeString(directory.resolve("lineward-n1-77-99.engines.json"), content);
        Files.writeString(
                directory.resolve("lineward-n2-77-99.engines.json"),
                "{\"at\":1000000,\"engines\":{\"s-2\":{\"out\":true,\"since\":999000}}}");
        RecordingListener listener = new RecordingListener();
        HotRestart reader = startProcess(listener);
        reader.readPeers();
        assertEquals(reader.isExcluded("s-1"), accepted);
        assertFalse(reader.isExcluded("s-2"), "a command of another front end");
        reader.setMaintenance("s-1", true);
        assertTrue(reader.isExcluded("s-1"));
    }

    /** A file of an earlier version, the time at which it is read, and the events of the listener. */
    @DataProvider
    public Object[][] storedFiles() {
        List<String> firstEvents = List.of("s-1 excluded", "s-2 released", "quota 0.5");
        List<String> secondEvents = List.of(SPECIAL_CHARACTERS_ID + " excluded", "s-3 released", "quota 0.5");
        return new Object[][] {
            {"hot-restart-1.engines.json", 1.7646540005e12, firstEvents},
            {"hot-restart-2.engines.json", 1.764654102e12, secondEvents},
            {"hot-restart-3.engines.json", 1.764654102e12, List.of("quota 0.5")}
        };
    }

    @Test(dataProvider = "storedFiles")
    public void fileOfAnEarlierVersionIsReadAndRoundTrips(String name, double readAtMs, List<String> events)
            throws IOException {
        String content = storedFile(name);
        Files.writeString(directory.resolve("lineward-n1-77-99.engines.json"), content);
        nowMs = readAtMs;
        RecordingListener listener = new RecordingListener();
        startProcess(listener).readPeers();
        assertEquals(listener.events, events);
        assertEquals(PeerStateCodec.encode(PeerStateCodec.decode(content)), content);
    }

    /** For the same commands a process writes the same bytes as the version of commit 3520411. */
    @Test
    public void stateIsWrittenAsTheEarlierVersionWroteIt() throws IOException {
        writeState(directory, "n1", true);
        writeState(directory, "n2", false);
        assertEquals(writtenFile("lineward-n1-"), storedFile("hot-restart-2.engines.json"));
        assertEquals(writtenFile("lineward-n2-"), storedFile("hot-restart-3.engines.json"));
    }

    private String writtenFile(String prefix) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            Path file = files.filter(path -> path.getFileName().toString().startsWith(prefix))
                    .findFirst()
                    .orElseThrow();
            return Files.readString(file);
        }
    }

    private static String storedFile(String name) throws IOException {
        try (InputStream resource = HotRestartTest.class.getResourceAsStream(name)) {
            return new String(resource.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Writes the file of a process that has received several commands, or none. */
    private static void writeState(Path folder, String name, boolean hasCommands) {
        double[] clock = {1.764654100e12};
        HotRestart process = new HotRestart(folder, name, () -> clock[0], new RecordingListener());
        if (hasCommands) {
            process.setMaintenance(SPECIAL_CHARACTERS_ID, true);
            clock[0] += 0.25;
            process.setMaintenance("s-3", true);
            clock[0] += 1000;
            process.setMaintenance("s-3", false);
        }
        process.writeState();
    }

    /**
     * Writes the stored files 2 and 3 into the folder of the first argument. It was run once, with the
     * version whose files must stay readable.
     */
    public static void main(String[] args) {
        writeState(Path.of(args[0]), "n1", true);
        writeState(Path.of(args[0]), "n2", false);
    }

    @Test
    public void withoutADirectoryCommandsAreInEffectInThisProcessOnly() {
        for (Path unusableDirectory : new Path[] {null, directory.resolve("missing")}) {
            RecordingListener listener = new RecordingListener();
            HotRestart process = new HotRestart(unusableDirectory, "n1", () -> nowMs, listener);
            process.readPeers();
            process.setMaintenance("s-1", true);
            process.stop();
            assertEquals(listener.events, List.of("s-1 excluded"));
        }
    }
}
