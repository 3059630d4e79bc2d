package lineward.lifecycle;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What operators said reaches the other process; what can't be trusted does no harm. */
public class HandOverTest {
    private static final class Heard implements HotRestart.Listener {
        private final List<String> lines = new ArrayList<>();

        @Override
        public void heldOut(String engine, boolean out, double since) {
            lines.add(engine + (out ? " out" : " back"));
        }

        @Override
        public void part(double part) {
            lines.add("part " + part);
        }
    }

    private Path directory;
    private double now = 1_000_000;

    @BeforeMethod
    public void start() throws IOException {
        directory = Files.createTempDirectory("hand-over");
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            files.forEach(file -> file.toFile().delete());
        }
        Files.delete(directory);
    }

    private HotRestart process(Heard heard) {
        now++; // Each process has a file of its own, named after its start.
        return new HotRestart(directory, "n1", () -> now, heard);
    }

    @Test
    public void theLaterWordHoldsInBothAndOutlivesTheFirstProcess() {
        Heard first = new Heard();
        HotRestart old = process(first);
        old.say("s-1", true);
        old.say("s-2", true);
        Heard second = new Heard();
        HotRestart next = process(second);
        next.look();
        next.write();
        assertEquals(second.lines, List.of("s-1 out", "s-2 out", "part 0.5"));
        now += 10;
        next.say("s-1", false);
        old.look();
        assertEquals(first.lines, List.of("s-1 out", "s-2 out", "s-1 back", "part 0.5"));
        old.leave();
        old.write();
        next.look();
        assertTrue(next.isOut("s-2"));
        assertFalse(next.isOut("s-1"));
        assertEquals(second.lines.subList(3, 5), List.of("s-1 back", "part 1.0"));
    }

    /** What may stand in a file beside one's own, and whether the word on s-1 in it is taken in. */
    @DataProvider
    public Object[][] files() {
        String word = "\"engines\":{\"s-1\":{\"out\":true,\"since\":999000}}}";
        return new Object[][] {
            {"{\"at\":1000000," + word, true},
            {"{\"at\":991500," + word, true},
            {"{\"at\":980000," + word, false},
            {"{\"at\":9980000," + word, false},
            {"{" + word, false},
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
    public void oldAndSpoiltFilesAreHarmless(String content, boolean taken) throws IOException {
        Files.writeString(directory.resolve("lineward-n1-77-99.engines.json"), content);
        Files.writeString(
                directory.resolve("lineward-n2-77-99.engines.json"),
                "{\"at\":1000000,\"engines\":{\"s-2\":{\"out\":true,\"since\":999000}}}");
        Heard heard = new Heard();
        HotRestart next = process(heard);
        next.look();
        assertEquals(next.isOut("s-1"), taken);
        assertFalse(next.isOut("s-2"), "another front end's");
        next.say("s-1", true);
        assertTrue(next.isOut("s-1"));
    }

    @Test
    public void withoutADirectoryItHoldsHereAlone() {
        for (Path none : new Path[] {null, directory.resolve("missing")}) {
            Heard heard = new Heard();
            HotRestart alone = new HotRestart(none, "n1", () -> now, heard);
            alone.look();
            alone.say("s-1", true);
            alone.leave();
            assertEquals(heard.lines, List.of("s-1 out"));
        }
    }
}
