package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lineward.Program;
import lineward.thrift.StandInLines.Mode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What crosses on connections to engines, on real sockets. */
public class EngineConnectionTest {
    private static final int REFUSED = 1;
    private static final int FAILED = 2;
    private static final String ROWS = String.join("", StandInLines.PAGES);
    private Platform platform;

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    /** Each end of an attempt, and whether it proves that nothing ran. */
    @DataProvider
    public Object[][] ends() {
        return new Object[][] {
            {Mode.SHED, true},
            {Mode.LATE, true},
            {Mode.FAULT, false},
            {Mode.RESET, false},
            {Mode.CLOSE, false},
            {Mode.RESET_AMID, false},
            {Mode.GARBAGE, false},
            {Mode.NOISE, false},
            {Mode.NO_TOTAL, false},
            {Mode.SHORT, false},
            {Mode.ENDLESS, false},
            {Mode.LOSE_PAGES, false},
            {Mode.DEAD, false}
        };
    }

    /** What is unsafe to repeat goes out again only where it surely never ran; else it has failed. */
    @Test(dataProvider = "ends")
    public void anUnsafeRequestRunsOnceAtMost(Mode mode, boolean neverRan) throws IOException {
        platform = new Platform(Platform::unsafe);
        platform.both(mode);
        try (StandInCaller caller = platform.caller()) {
            Map<String, String> fields = StandInCaller.fields(3000);
            fields.put("op", "load");
            int field = caller.call(fields, "insert into t select 1").field();
            assertEquals(field, neverRan ? REFUSED : FAILED);
            long attempts = platform.wants();
            assertTrue(neverRan ? attempts > 1 : attempts == 1, attempts + " attempts");
            assertTrue(caller.simple("ping").good(), "and no second answer");
        }
    }

    /** The same at one engine of two: what is safe is served by the other, once, and by one at a time. */
    @Test(dataProvider = "ends")
    public void aSafeRequestIsServedByAnother(Mode mode, boolean neverRan) throws IOException {
        platform = new Platform(Map.of());
        StandInLines.TWICE.clear();
        platform.tellOnly("s-1", platform.one);
        platform.one.mode = mode;
        platform.one.atWant = () -> {
            platform.one.atWant = () -> {};
            platform.journal.tell(false, platform.engines(2, 2, "ready"));
            platform.awaitTold();
        };
        if (mode == Mode.RESET_AMID) {
            platform.journal.tell(false, platform.engines(2, 2, "ready"));
            platform.awaitTold();
        }
        try (StandInCaller caller = platform.caller()) {
            assertEquals(caller.call(StandInCaller.fields(2400), "select 1").body(), ROWS);
            assertTrue(caller.simple("ping").good(), "and no second answer");
        }
        assertEquals(StandInLines.TWICE, Set.of());
    }

    /** The only engine says SHED twice, the second time when the request is out there again. */
    @Test
    public void aSecondAnswerEndsNoLaterAttempt() throws IOException {
        platform = new Platform(Map.of());
        platform.tellOnly("s-1", platform.one);
        platform.one.mode = Mode.SHED_TWICE;
        try (StandInCaller caller = platform.caller()) {
            assertEquals(caller.call(StandInCaller.fields(2000), "select 1").body(), ROWS);
            assertEquals(platform.one.count("want"), 2);
        }
    }

    @Test
    public void anAnswerThatCrossesItsCancelReachesNobody() throws IOException {
        platform = new Platform(Map.of());
        platform.both(Mode.CROSS);
        try (StandInCaller caller = platform.caller()) {
            int seqid = caller.send(StandInCaller.fields(2000), "select 1");
            Program.await("it runs", () -> platform.wants() == 1);
            caller.abort(seqid);
            Program.await(
                    "the engine is told",
                    () -> platform.one.count("never_mind") + platform.two.count("never_mind") == 1);
            platform.both(Mode.SERVE);
            assertEquals(caller.call(StandInCaller.fields(2000), "select 2").body(), ROWS);
            assertEquals(platform.wants(), 2);
        }
    }

    /** Returns what the program has logged since it listens: its rehearsal is no engine's matter. */
    private String logged() {
        String log = platform.program.log();
        return log.substring(log.indexOf("listening on"));
    }

    /** How the engine leaves while a connection to it is coming up. */
    @DataProvider
    public Object[][] leavings() {
        return new Object[][] {{"draining"}, {"gone"}};
    }

    /** Danger: a connection that comes up late takes it to an engine that drains, or to its successor. */
    @Test(dataProvider = "leavings")
    public void whatWaitsForALateConnectionMovesOnceItsEngineLeaves(String state) throws IOException {
        platform = new Platform(Platform::patient);
        try (LateListener late = new LateListener();
                StandInCaller caller = platform.caller()) {
            platform.journal.tell(true, "s-9", "" + late.port(), "ready");
            platform.awaitTold();
            caller.send(StandInCaller.fields(9000), "select 1");
            late.awaitConnecting();
            String portOfTwo = "" + platform.two.port();
            platform.journal.tell(false, "s-9", "" + late.port(), state, "s-2", portOfTwo, "ready");
            assertEquals(caller.read().body(), ROWS, "served by the other");
            assertEquals(platform.two.count("want"), 1);
            StandInLines engine = late.open();
            platform.journal.tell(false, "s-2", portOfTwo, "gone", "s-10", "" + late.port(), "ready");
            platform.awaitTold();
            Map<String, String> fields = StandInCaller.fields(9000);
            assertEquals(caller.call(fields, "select 2").body(), ROWS);
            assertEquals(engine.ids(), List.of(fields.get("call")), "only what was meant for it");
        }
    }

    /** One late connection moves its request on and says nothing of the engine; it serves once it is up. */
    @Test
    public void aLateConnectionIsNoFaultOfItsEngine() throws IOException {
        platform = new Platform(Map.of());
        try (LateListener late = new LateListener();
                StandInCaller caller = platform.caller()) {
            String portOfTwo = "" + platform.two.port();
            platform.journal.tell(true, "s-9", "" + late.port(), "ready", "s-2", portOfTwo, "ready");
            platform.awaitTold();
            Program.await("a connection is tried", () -> {
                try {
                    return caller.call(StandInCaller.fields(2400), "select 1")
                                    .body()
                                    .equals(ROWS)
                            && late.isConnecting();
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            StandInLines engine = late.open();
            Program.await("the engine serves", () -> {
                try {
                    return caller.call(StandInCaller.fields(2400), "select 1")
                                    .body()
                                    .equals(ROWS)
                            && engine.count("want") > 0;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            assertFalse(logged().contains("engine ejected"), logged());
        }
    }

    /** Two late in a row, with no word between: the engine is out of reach, and others get its part. */
    @Test
    public void connectionsThatAreAllLateMakeTheEngineSuspected() throws IOException {
        platform = new Platform(Map.of());
        try (LateListener late = new LateListener();
                StandInCaller caller = platform.caller()) {
            String portOfTwo = "" + platform.two.port();
            platform.journal.tell(true, "s-9", "" + late.port(), "ready", "s-2", portOfTwo, "ready");
            platform.awaitTold();
            Program.await("it is ejected", () -> {
                try {
                    return caller.call(StandInCaller.fields(2400), "select 1")
                                    .body()
                                    .equals(ROWS)
                            && logged().contains("cause=connect_failures");
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
    }

    /** Half a line on a resting connection: what comes behind it can't be read, so nothing goes out there. */
    @Test
    public void halfALineOnARestingConnectionHarmsNoRequest() throws IOException {
        platform = new Platform(Map.of());
        platform.tellOnly("s-1", platform.one);
        try (StandInCaller caller = platform.caller()) {
            assertEquals(caller.call(StandInCaller.fields(2000), "select 1").body(), ROWS);
            platform.one.sayToAll("00");
            assertTrue(caller.simple("ping").good());
            assertEquals(caller.call(StandInCaller.fields(2000), "select 2").body(), ROWS);
            assertEquals(platform.one.count("want"), 2, "nothing had to go out again");
            Program.await("the connection is asked", () -> platform.one.count("there") > 0);
        }
    }
}
