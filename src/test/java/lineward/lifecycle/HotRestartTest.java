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

    private static final String ODD_ENGINE = "engine 7/\"a\" \u00e9";

    private Path directory;
    private double now = 1_000_000;

    @BeforeMethod
    public void start() throws IOException {
        directory = Files.createTempDirectory("hot-restart");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            files.forEach(file -> file.toFile().delete());
        }
        Files.delete(directory);
    }

    private HotRestart process(RecordingListener listener) {
        now++; // All have this test's process id, so only the start time distinguishes their files.
        return new HotRestart(directory, "n1", () -> now, listener);
    }

    @Test
    public void laterOrderIsInEffectInBothProcessesAndSurvivesTheFirst() {
        RecordingListener first = new RecordingListener();
        HotRestart old = process(first);
        old.setMaintenance("s-1", true);
        old.setMaintenance("s-2", true);
        RecordingListener second = new RecordingListener();
        HotRestart next = process(second);
        next.readPeers();
        next.writeState();
        assertEquals(second.events, List.of("s-1 excluded", "s-2 excluded", "quota 0.5"));
        now += 10;
        next.setMaintenance("s-1", false);
        old.readPeers();
        List<String> firstEvents = List.of("s-1 excluded", "s-2 excluded", "s-1 released", "quota 0.5");
        assertEquals(first.events, firstEvents);
        old.stop();
        old.writeState();
        next.readPeers();
        assertTrue(next.isExcluded("s-2"));
        assertFalse(next.isExcluded("s-1"));
        assertEquals(second.events.subList(3, 5), List.of("s-1 released", "quota 1.0"));
    }

    /** Content of another process's file, and whether a process accepts its command to exclude s-1. */
    @DataProvider
    public Object[][] files() {
        String order = "\"engines\":{\"s-1\":{\"out\":true,\"since\":999000}}}";
        return new Object[][] {
            {"{\"at\":1000000," + order, true},
            {"{\"at\":991500," + order, true},
            {"{\"at\":980000," + order, false},
            {"{\"at\":9980000," + order, false},
            {"{" + order, false},
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
    public void expiredAndMalformedFilesAreHarmless(String content, boolean accepted) throws IOException {
        Files.writeString(directory.resolve("lineward-n1-77-99.engines.json"), content);
        Files.writeString(
                directory.resolve("lineward-n2-77-99.engines.json"),
                "{\"at\":1000000,\"engines\":{\"s-2\":{\"out\":true,\"since\":999000}}}");
        RecordingListener listener = new RecordingListener();
        HotRestart next = process(listener);
        next.readPeers();
        assertEquals(next.isExcluded("s-1"), accepted);
        assertFalse(next.isExcluded("s-2"), "a command of another front end");
        next.setMaintenance("s-1", true);
        assertTrue(next.isExcluded("s-1"));
    }

    /** A file of an earlier version, the time at which it is read, and the events of the listener. */
    @DataProvider
    public Object[][] storedFiles() {
        List<String> firstEvents = List.of("s-1 excluded", "s-2 released", "quota 0.5");
        List<String> oddEvents = List.of(ODD_ENGINE + " excluded", "s-3 released", "quota 0.5");
        return new Object[][] {
            {"hot-restart-1.engines.json", 1.7646540005e12, firstEvents},
            {"hot-restart-2.engines.json", 1.764654102e12, oddEvents},
            {"hot-restart-3.engines.json", 1.764654102e12, List.of("quota 0.5")}
        };
    }

    @Test(dataProvider = "storedFiles")
    public void fileOfAnEarlierVersionIsReadAndKeepsItsForm(String name, double readAtMs, List<String> events)
            throws IOException {
        String content = stored(name);
        Files.writeString(directory.resolve("lineward-n1-77-99.engines.json"), content);
        now = readAtMs;
        RecordingListener listener = new RecordingListener();
        process(listener).readPeers();
        assertEquals(listener.events, events);
        assertEquals(PeerStateCodec.encode(PeerStateCodec.decode(content)), content);
    }

    /** For the same commands a process writes the same bytes as the version of commit 3520411. */
    @Test
    public void stateIsWrittenAsTheEarlierVersionWroteIt() throws IOException {
        writeState(directory, "n1", true);
        writeState(directory, "n2", false);
        assertEquals(written("lineward-n1-"), stored("hot-restart-2.engines.json"));
        assertEquals(written("lineward-n2-"), stored("hot-restart-3.engines.json"));
    }

    private String written(String prefix) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            Path file = files.filter(path -> path.getFileName().toString().startsWith(prefix))
                    .findFirst()
                    .orElseThrow();
            return Files.readString(file);
        }
    }

    private static String stored(String name) throws IOException {
        try (InputStream resource = HotRestartTest.class.getResourceAsStream(name)) {
            return new String(resource.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    /** Writes the file of a process that has received several commands, or none. */
    private static void writeState(Path folder, String name, boolean hasOrders) {
        double[] clock = {1.764654100e12};
        HotRestart process = new HotRestart(folder, name, () -> clock[0], new RecordingListener());
        if (hasOrders) {
            process.setMaintenance(ODD_ENGINE, true);
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
    public void withoutADirectoryOrdersAreInEffectInThisProcessOnly() {
        for (Path none : new Path[] {null, directory.resolve("missing")}) {
            RecordingListener listener = new RecordingListener();
            HotRestart alone = new HotRestart(none, "n1", () -> now, listener);
            alone.readPeers();
            alone.setMaintenance("s-1", true);
            alone.stop();
            assertEquals(listener.events, List.of("s-1 excluded"));
        }
    }
}
