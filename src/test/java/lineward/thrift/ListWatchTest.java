package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.Program;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The watch on the list where the service is silent, broken or gone just as something has to be heard. */
public class ListWatchTest {
    private static final int SERVED = 0;
    /** What the journal holds counts as told then, and a drain has 1 s of grace. */
    private static final long TOLD_MS = 7000;

    /** The open watch falls silent with no close; right behind it an engine begins to drain. */
    @Test
    public void aDrainBehindASilentWatchIsHeardInTime() throws IOException {
        try (Platform platform = new Platform(Map.of())) {
            int polls = platform.journal.polls();
            platform.journal.silent = true;
            Program.await("a watch is open that will say nothing", () -> platform.journal.polls() > polls);
            long told = System.nanoTime();
            platform.journal.tell(false, platform.engines(1, 1, "draining"));
            platform.journal.silent = false;
            platform.awaitTold();
            assertTrue(System.nanoTime() - told < TimeUnit.MILLISECONDS.toNanos(TOLD_MS), "in time");
            assertOneGetsNothing(platform);
        }
    }

    private static void assertOneGetsNothing(Platform platform) throws IOException {
        long before = platform.one.count("want");
        try (StandInCaller caller = platform.caller()) {
            for (int i = 0; i < 10; i++) {
                assertEquals(caller.call(StandInCaller.fields(2000), "select 1").field(), SERVED);
            }
        }
        assertEquals(platform.one.count("want"), before);
    }

    /** Heard again, and the states in whatever order: the last event counts. */
    @Test
    public void aDrainThatComesTwiceAndBehindItsEndHoldsOnce() throws IOException {
        try (Platform platform = new Platform(Map.of())) {
            platform.journal.tell(false, platform.engines(1, 1, "draining"));
            platform.journal.tell(false, platform.engines(1, 1, "draining"));
            platform.journal.tell(false, platform.engines(1, 1, "gone"));
            platform.journal.tell(false, platform.engines(1, 1, "draining"));
            platform.awaitTold();
            assertOneGetsNothing(platform);
            long before = platform.one.count("want");
            platform.journal.tell(false, platform.engines(1, 1, "ready"));
            platform.journal.tell(false, platform.engines(2, 2, "gone"));
            platform.awaitTold();
            try (StandInCaller caller = platform.caller()) {
                assertEquals(caller.call(StandInCaller.fields(2000), "select 1").field(), SERVED);
            }
            assertTrue(platform.one.count("want") > before, "used again");
        }
    }

    /** What the service does while the program starts. */
    @DataProvider
    public Object[][] starts() {
        return new Object[][] {{"gone"}, {"broken"}, {"silent"}};
    }

    /** The list of the start is enough to be ready and to serve; what is new is heard once it can be. */
    @Test(dataProvider = "starts")
    public void aStartNeedsNoJournal(String state) throws IOException {
        try (Platform platform = new Platform(Map.of());
                StandInJournal other = new StandInJournal()) {
            other.tell(true, platform.engines(1, 2, "ready"));
            other.broken = state.equals("broken");
            other.silent = state.equals("silent");
            platform.configure(other);
            if (state.equals("gone")) {
                other.stop();
            }
            long start = System.nanoTime();
            try (Program again = platform.another();
                    StandInCaller caller = new StandInCaller(again.port())) {
                assertTrue(caller.simple("ping").good());
                assertEquals(caller.call(StandInCaller.fields(2000), "select 1").field(), SERVED);
                assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(10), "ready in time");
                if (!state.equals("gone")) {
                    other.tell(false, platform.engines(1, 1, "gone"));
                    other.broken = false;
                    other.silent = false;
                    Program.await("it is told", () -> other.told() == 2);
                }
            }
        }
    }
}
