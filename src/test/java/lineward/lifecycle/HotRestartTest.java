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

/** Maintenance orders reach the other process; files that can't be trusted do no harm. */
public class HotRestartTest {
    private static final class RecordingListener implements HotRestart.Listener {
        private final List<String> events = new ArrayList<>();

        @Override
        public void maintenanceChanged(String engine, boolean excluded, double sinceMs) {
            events.add(engine + (excluded ? " out" : " back"));
        }

        @Override
        public void quotaChanged(double quota) {
            events.add("quota " + quota);
        }
    }

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
        now++; // Each process has a file of its own, named after its start.
        return new HotRestart(directory, "n1", () -> now, listener);
    }

    @Test
    public void theLaterOrderIsInEffectInBothProcessesAndOutlivesTheFirst() {
        RecordingListener first = new RecordingListener();
        HotRestart old = process(first);
        old.setMaintenance("s-1", true);
        old.setMaintenance("s-2", true);
        RecordingListener second = new RecordingListener();
        HotRestart next = process(second);
        next.readPeers();
        next.writeState();
        assertEquals(second.events, List.of("s-1 out", "s-2 out", "quota 0.5"));
        now += 10;
        next.setMaintenance("s-1", false);
        old.readPeers();
        assertEquals(first.events, List.of("s-1 out", "s-2 out", "s-1 back", "quota 0.5"));
        old.leave();
        old.writeState();
        next.readPeers();
        assertTrue(next.isExcluded("s-2"));
        assertFalse(next.isExcluded("s-1"));
        assertEquals(second.events.subList(3, 5), List.of("s-1 back", "quota 1.0"));
    }

    /** Contents of another process's file, and whether the order on s-1 in it is accepted. */
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
        assertFalse(next.isExcluded("s-2"), "another front end's");
        next.setMaintenance("s-1", true);
        assertTrue(next.isExcluded("s-1"));
    }

    /** The file was made by the form of the version before this one. */
    @Test
    public void theFileOfTheVersionBeforeIsReadAndKeepsItsForm() throws IOException {
        String content;
        try (InputStream resource = getClass().getResourceAsStream("hot-restart-1.engines.json")) {
            content = new String(resource.readAllBytes(), StandardCharsets.UTF_8);
        }
        Files.writeString(directory.resolve("lineward-n1-77-99.engines.json"), content);
        now = 1.7646540005e12;
        RecordingListener listener = new RecordingListener();
        process(listener).readPeers();
        assertEquals(listener.events, List.of("s-1 out", "s-2 back", "quota 0.5"));
        assertEquals(PeerStateCodec.encode(PeerStateCodec.decode(content)), content);
    }

    @Test
    public void withoutADirectoryOrdersAreInEffectInThisProcessAlone() {
        for (Path none : new Path[] {null, directory.resolve("missing")}) {
            RecordingListener listener = new RecordingListener();
            HotRestart alone = new HotRestart(none, "n1", () -> now, listener);
            alone.readPeers();
            alone.setMaintenance("s-1", true);
            alone.leave();
            assertEquals(listener.events, List.of("s-1 out"));
        }
    }
}
