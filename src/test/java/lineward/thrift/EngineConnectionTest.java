package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lineward.testing.EngineBehavior;
import lineward.testing.FullBacklogListener;
import lineward.testing.Program;
import lineward.testing.RequestFields;
import lineward.testing.TestingClient;
import lineward.testing.TestingEngine;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests and replies on connections to engines, over real sockets. */
public class EngineConnectionTest {
    private static final int REJECTED = 1;
    private static final int FAILED = 2;
    private static final String RESULT = String.join("", TestingEngine.PAGES);
    private TestingPlatform platform;

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    /** The ways in which an attempt ends, each with whether it proves that the query never ran. */
    @DataProvider
    public Object[][] attemptEnds() {
        return new Object[][] {
            {EngineBehavior.REJECT, true},
            {EngineBehavior.EXPIRED, true},
            {EngineBehavior.ERROR, false},
            {EngineBehavior.RESET, false},
            {EngineBehavior.CLOSE, false},
            {EngineBehavior.RESET_MID_REQUEST, false},
            {EngineBehavior.MALFORMED_REPLY, false},
            {EngineBehavior.CONTROL_CHARACTER, false},
            {EngineBehavior.MISSING_PAGE_COUNT, false},
            {EngineBehavior.TRUNCATED_REPLY, false},
            {EngineBehavior.ENDLESS_REPLY, false},
            {EngineBehavior.ERROR_ON_NEXT_PAGE, false},
            {EngineBehavior.UNRESPONSIVE, false}
        };
    }

    /** A non-idempotent request is retried only if it never ran; otherwise it fails. */
    @Test(dataProvider = "attemptEnds")
    public void runsNonIdempotentRequestsAtMostOnce(EngineBehavior end, boolean neverRan) throws IOException {
        platform = new TestingPlatform(TestingPlatform::withNonIdempotentClass);
        platform.setBehavior(end);
        try (TestingClient caller = platform.client()) {
            Map<String, String> fields = TestingClient.fields(3000);
            fields.put(RequestFields.REQUEST_CLASS, "load");
            int fieldId = caller.call(fields, "insert into t select 1").fieldId();
            assertEquals(fieldId, neverRan ? REJECTED : FAILED);
            long attempts = platform.attempts();
            assertTrue(neverRan ? attempts > 1 : attempts == 1, attempts + " attempts");
            assertTrue(caller.callMethod("ping").ok(), "no second response");
        }
    }

    /** One of two engines fails the attempt; the other serves the request once, and not concurrently. */
    @Test(dataProvider = "attemptEnds")
    public void retriesIdempotentRequestsElsewhere(EngineBehavior end, boolean neverRan) throws IOException {
        platform = new TestingPlatform(Map.of());
        platform.publishOnly("s-1", platform.engine1());
        platform.engine1().setBehavior(end);
        platform.engine1().onRequest(() -> {
            platform.engine1().onRequest(() -> {});
            platform.discovery().publish(false, platform.endpoints(2, 2, "ready"));
            platform.awaitEventsReceived();
        });
        if (end == EngineBehavior.RESET_MID_REQUEST) {
            platform.discovery().publish(false, platform.endpoints(2, 2, "ready"));
            platform.awaitEventsReceived();
        }
        try (TestingClient caller = platform.client()) {
            assertEquals(caller.call(TestingClient.fields(2400), "select 1").body(), RESULT);
            assertTrue(caller.callMethod("ping").ok(), "no second response");
        }
        assertEquals(platform.concurrentRuns().duplicates(), Set.of());
    }

    /** The only engine rejects the request twice, the second time while the retry is in flight. */
    @Test
    public void aDuplicateResponseDoesNotEndTheNextAttempt() throws IOException {
        platform = new TestingPlatform(Map.of());
        platform.publishOnly("s-1", platform.engine1());
        platform.engine1().setBehavior(EngineBehavior.REJECT_TWICE);
        try (TestingClient caller = platform.client()) {
            assertEquals(caller.call(TestingClient.fields(2000), "select 1").body(), RESULT);
            assertEquals(platform.engine1().attempts(), 2);
        }
    }

    @Test
    public void ignoresAResponseAfterCancel() throws IOException {
        platform = new TestingPlatform(Map.of());
        platform.setBehavior(EngineBehavior.RESPOND_AFTER_CANCEL);
        try (TestingClient caller = platform.client()) {
            int seqid = caller.send(TestingClient.fields(2000), "select 1");
            Program.await("the request runs", () -> platform.attempts() == 1);
            caller.abort(seqid);
            Program.await(
                    "the engine has received the cancel",
                    () -> platform.engine1().cancels() + platform.engine2().cancels() == 1);
            platform.setBehavior(EngineBehavior.SERVE);
            assertEquals(caller.call(TestingClient.fields(2000), "select 2").body(), RESULT);
            assertEquals(platform.attempts(), 2);
        }
    }

    /** Returns the log since the program listens; earlier lines may concern the engine of the warm-up. */
    private String logSinceListening() {
        String log = platform.program().log();
        return log.substring(log.indexOf("server listening: "));
    }

    /** States that an engine enters while a connection to it is being established. */
    @DataProvider
    public Object[][] unavailableStates() {
        return new Object[][] {{"draining"}, {"gone"}};
    }

    /**
     * A connection that is established late must not carry the request to a draining engine, or to another
     * engine at the same address.
     */
    @Test(dataProvider = "unavailableStates")
    public void migratesARequestThatAwaitsAnUnavailableEngine(String state) throws IOException {
        platform = new TestingPlatform(TestingPlatform::withLongTimeouts);
        try (FullBacklogListener listener = new FullBacklogListener();
                TestingClient caller = platform.client()) {
            platform.discovery().publish(true, "s-9", "" + listener.port(), "ready");
            platform.awaitEventsReceived();
            caller.send(TestingClient.fields(9000), "select 1");
            listener.awaitConnecting();
            String port2 = "" + platform.engine2().port();
            platform.discovery().publish(false, "s-9", "" + listener.port(), state, "s-2", port2, "ready");
            assertEquals(caller.read().body(), RESULT, "served by the other engine");
            assertEquals(platform.engine2().attempts(), 1);
            TestingEngine engine = listener.open();
            platform.discovery().publish(false, "s-2", port2, "gone", "s-10", "" + listener.port(), "ready");
            platform.awaitEventsReceived();
            Map<String, String> fields = TestingClient.fields(9000);
            assertEquals(caller.call(fields, "select 2").body(), RESULT);
            String id = fields.get(RequestFields.REQUEST_ID);
            assertEquals(engine.requestIds(), List.of(id), "the new engine gets only its own request");
        }
    }

    /** The request migrates; the engine is not ejected, and serves once the connection is established. */
    @Test
    public void oneSlowConnectionDoesNotEjectTheEngine() throws IOException {
        platform = new TestingPlatform(Map.of());
        try (FullBacklogListener listener = new FullBacklogListener();
                TestingClient caller = platform.client()) {
            String port2 = "" + platform.engine2().port();
            platform.discovery().publish(true, "s-9", "" + listener.port(), "ready", "s-2", port2, "ready");
            platform.awaitEventsReceived();
            Program.await("a connection is being established", () -> {
                try {
                    return caller.call(TestingClient.fields(2400), "select 1")
                                    .body()
                                    .equals(RESULT)
                            && listener.isConnecting();
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            TestingEngine engine = listener.open();
            Program.await("the engine serves", () -> {
                try {
                    return caller.call(TestingClient.fields(2400), "select 1")
                                    .body()
                                    .equals(RESULT)
                            && engine.attempts() > 0;
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
            assertFalse(logSinceListening().contains("engine ejected"), logSinceListening());
        }
    }

    /** Two slow connections in a row, without a reply between them, eject the engine. */
    @Test
    public void slowConnectionsInARowEjectTheEngine() throws IOException {
        platform = new TestingPlatform(Map.of());
        try (FullBacklogListener listener = new FullBacklogListener();
                TestingClient caller = platform.client()) {
            String port2 = "" + platform.engine2().port();
            platform.discovery().publish(true, "s-9", "" + listener.port(), "ready", "s-2", port2, "ready");
            platform.awaitEventsReceived();
            Program.await("the engine is ejected", () -> {
                try {
                    return caller.call(TestingClient.fields(2400), "select 1")
                                    .body()
                                    .equals(RESULT)
                            && logSinceListening().contains("cause=connect_failures");
                } catch (IOException e) {
                    throw new AssertionError(e);
                }
            });
        }
    }

    /** A reply after an incomplete line can't be parsed, so the connection gets no request. */
    @Test
    public void anIncompleteLineOnAnIdleConnectionFailsNoRequest() throws IOException {
        platform = new TestingPlatform(Map.of());
        platform.publishOnly("s-1", platform.engine1());
        try (TestingClient caller = platform.client()) {
            assertEquals(caller.call(TestingClient.fields(2000), "select 1").body(), RESULT);
            platform.engine1().writeToAll("00");
            assertTrue(caller.callMethod("ping").ok());
            assertEquals(caller.call(TestingClient.fields(2000), "select 2").body(), RESULT);
            assertEquals(platform.engine1().attempts(), 2, "no request is retried");
            Program.await("the engine is pinged", () -> platform.engine1().pings() > 0);
        }
    }
}
