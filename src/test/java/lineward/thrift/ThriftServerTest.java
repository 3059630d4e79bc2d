package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.RequestFields;
import lineward.testing.TestingClient;
import lineward.testing.TestingEngine;
import lineward.testing.TestingEngineCodec;
import lineward.testing.TestingPlatform;
import lineward.testing.TestingServiceDiscovery;
import lineward.testing.ThriftResponse;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The platform's rules for front ends, each tested over real sockets. */
public class ThriftServerTest {
    private static final int REPLY = 2;
    private static final int SERVED = 0;
    private static final int REJECTED = 1;
    private static final int FAILED = 2;
    private TestingPlatform platform;

    @BeforeMethod
    public void start() throws IOException {
        platform = new TestingPlatform(Map.of());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    private ThriftResponse call(TestingClient caller, int timeLeftMs) throws IOException {
        return caller.call(TestingClient.fields(timeLeftMs), "select * from sales_17.orders");
    }

    private long attempts() {
        return platform.engine1().attempts() + platform.engine2().attempts();
    }

    @Test
    public void returnsAllPagesInOrderAndForwardsTheStatementUnchanged() throws IOException {
        try (TestingClient caller = platform.client()) {
            Map<String, String> fields = TestingClient.fields(2000);
            String statement = "select 'é' -- \r\n from t";
            ThriftResponse response = caller.call(fields, statement);
            assertEquals(response.fieldId(), SERVED);
            assertTrue(response.ok());
            assertEquals(response.body(), String.join("", TestingEngine.PAGES));
            boolean firstIsUnused = platform.engine1().receivedLines().isEmpty();
            TestingEngine engine = firstIsUnused ? platform.engine2() : platform.engine1();
            String id = fields.get(RequestFields.REQUEST_ID);
            List<String> received = engine.receivedLines();
            assertTrue(received.get(0).startsWith(TestingEngineCodec.startQueryPrefix(id, "look")));
            assertEquals(received.get(1), TestingEngineCodec.bodyLine(statement));
        }
    }

    /** Unknown progress reports and a failed health check do not end the attempt. */
    @Test
    public void progressReportsDoNotDisturbARequest() throws IOException {
        platform.setBehavior(EngineBehavior.PROGRESS_REPORTS);
        try (TestingClient caller = platform.client()) {
            for (int i = 0; i < 10; i++) {
                ThriftResponse response = call(caller, 2000);
                assertEquals(response.body(), String.join("", TestingEngine.PAGES));
            }
            assertEquals(attempts(), 10);
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {
            {EngineBehavior.ERROR},
            {EngineBehavior.REJECT},
            {EngineBehavior.RESET},
            {EngineBehavior.MALFORMED_REPLY},
            {EngineBehavior.ERROR_ON_NEXT_PAGE},
            {EngineBehavior.CONTROL_CHARACTER},
            {EngineBehavior.MISSING_PAGE_COUNT},
            {EngineBehavior.UNRESPONSIVE},
            {EngineBehavior.TRUNCATED_REPLY}
        };
    }

    @Test(dataProvider = "faults")
    public void retriesAtAnotherEngine(EngineBehavior behavior) throws IOException {
        platform.engine1().setBehavior(behavior);
        try (TestingClient caller = platform.client()) {
            while (platform.engine1().attempts() == 0) {
                assertEquals(call(caller, 2000).fieldId(), SERVED);
            }
            assertTrue(platform.engine2().attempts() > 0);
        }
    }

    @Test
    public void ignoresDuplicateAndUnknownResponses() throws IOException {
        platform.setBehavior(EngineBehavior.DUPLICATE_RESPONSES);
        try (TestingClient caller = platform.client()) {
            for (int i = 1; i <= 20; i++) {
                assertEquals(call(caller, 2000).body(), String.join("", TestingEngine.PAGES));
                assertEquals(attempts(), i, "no request is retried");
            }
        }
    }

    private long cancels() {
        return platform.engine1().cancels() + platform.engine2().cancels();
    }

    private boolean eachEngineRunsOneRequest() {
        return platform.engine1().attempts() == 1 && platform.engine2().attempts() == 1;
    }

    private void startOneRequestAtEachEngine(TestingClient caller) throws IOException {
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        caller.send(TestingClient.fields(2400), "select 1");
        caller.send(TestingClient.fields(2400), "select 1");
        Program.await("each engine runs one request", this::eachEngineRunsOneRequest);
    }

    private static void assertServesConcurrently(TestingClient caller, int requestCount) throws IOException {
        for (int i = 0; i < requestCount; i++) {
            caller.send(TestingClient.fields(2000), "select 1");
        }
        for (int i = 0; i < requestCount; i++) {
            assertEquals(caller.read().fieldId(), SERVED);
        }
    }

    @Test
    public void aMalformedReplyFailsNoRequestOfAnotherConnection() throws IOException {
        try (TestingClient waitingClient = platform.client();
                TestingClient caller = platform.client()) {
            startOneRequestAtEachEngine(waitingClient);
            platform.engine2().setBehavior(EngineBehavior.SERVE);
            platform.engine1().setBehavior(EngineBehavior.MALFORMED_REPLY_ONCE);
            assertServesConcurrently(caller, 6);
            assertEquals(platform.engine1().behavior(), EngineBehavior.SERVE, "the malformed reply was sent");
            String firstId = platform.engine1().receivedLines().get(0).split(" ", -1)[1];
            assertEquals(
                    platform.engine2().attempts(firstId) + platform.engine1().cancels(), 0);
        }
    }

    @Test
    public void resetsOfSomeConnectionsDoNotEjectTheEngine() throws IOException {
        try (TestingClient waitingClient = platform.client();
                TestingClient caller = platform.client()) {
            startOneRequestAtEachEngine(waitingClient);
            platform.setBehavior(EngineBehavior.SERVE);
            platform.engine1().limitResets(3);
            platform.engine1().setBehavior(EngineBehavior.RESET_LIMITED);
            assertServesConcurrently(caller, 12);
            assertEquals(platform.engine1().behavior(), EngineBehavior.SERVE, "three connections were reset");
            assertFalse(
                    platform.program().log().contains("resets"),
                    platform.program().log());
        }
    }

    @Test
    public void eachOpenRequestGetsOneResponseAndNoConcurrentAttempts() throws IOException {
        platform.engine1().setBehavior(EngineBehavior.NO_RESPONSE);
        try (TestingClient caller = platform.client()) {
            Set<Integer> openSeqids = new HashSet<>();
            for (int i = 0; i < 32; i++) {
                openSeqids.add(caller.send(TestingClient.fields(1500), "select 1"));
            }
            while (!openSeqids.isEmpty()) {
                assertTrue(openSeqids.remove(caller.read().seqid()), "an unexpected response");
            }
            assertEquals(caller.callMethod("ping").seqid(), 33, "no second response before the ping's");
        }
        assertEquals(platform.concurrentRuns().duplicates(), Set.of());
    }

    @Test
    public void rejectsWithRetryAfterBeforeTheDeadlineIfEnginesDoNotRespond() throws IOException {
        try (TestingClient caller = platform.client()) {
            // The first response after the start of the JVM may take 50 ms longer.
            assertEquals(call(caller, 2000).fieldId(), SERVED);
            platform.setBehavior(EngineBehavior.NO_RESPONSE);
            long startNanos = System.nanoTime();
            ThriftResponse response = call(caller, 800);
            assertEquals(response.fieldId(), REJECTED);
            assertTrue(Integer.parseInt(response.fields().get(RequestFields.RETRY_AFTER_MS)) > 0);
            assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(850), "rejected late");
        }
    }

    @Test
    public void rejectsARequestThatCannotMeetItsDeadline() throws IOException {
        try (TestingClient caller = platform.client()) {
            assertEquals(call(caller, 30).fieldId(), REJECTED);
            assertEquals(attempts(), 0);
        }
    }

    @Test
    public void anAbortedRequestIsCancelledAndGetsNoResponse() throws IOException {
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        try (TestingClient caller = platform.client()) {
            int seqid = caller.send(TestingClient.fields(2000), "select 1");
            Program.await("the request runs", () -> attempts() == 1);
            caller.abort(seqid);
            Program.await("the engine has received the cancel", () -> cancels() == 1);
            assertEquals(caller.callMethod("ping").seqid(), seqid + 2, "no response but the ping's");
        }
    }

    @Test
    public void cancelsTheRequestsOfAClosedConnection() throws IOException {
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        try (TestingClient caller = platform.client()) {
            caller.send(TestingClient.fields(2000), "select 1");
            Program.await("the request runs", () -> attempts() == 1);
        }
        Program.await("the engine has received the cancel", () -> cancels() == 1);
    }

    @Test
    public void forwardsNoRequestToADrainingEngine() throws IOException, InterruptedException {
        platform.discovery().publish(false, "s-1", "" + platform.engine1().port(), "draining");
        long publishedNanos = System.nanoTime();
        try (TestingClient caller = platform.client()) {
            long attemptsInGracePeriod = 0;
            while (System.nanoTime() - publishedNanos < TimeUnit.MILLISECONDS.toNanos(1500)) {
                call(caller, 2000);
                if (System.nanoTime() - publishedNanos < TimeUnit.MILLISECONDS.toNanos(1000)) {
                    attemptsInGracePeriod = platform.engine1().attempts();
                }
            }
            assertEquals(platform.engine1().attempts(), attemptsInGracePeriod);
            assertTrue(platform.engine2().attempts() > 0);
        }
    }

    @Test
    public void usesANewEngineAtAnOldAddressAfterDiscoveryErrors() throws IOException {
        try (TestingClient caller = platform.client()) {
            call(caller, 2000);
            platform.discovery().setFailing(true);
            int port = platform.engine1().port();
            platform.engine1().close();
            try (TestingEngine newEngine = new TestingEngine(port)) {
                platform.discovery()
                        .publish(
                                false,
                                "s-1",
                                "" + port,
                                "gone",
                                "s-2",
                                "" + platform.engine2().port(),
                                "gone",
                                "s-9",
                                "" + port,
                                "ready");
                platform.discovery().setFailing(false);
                long attemptsBefore = platform.engine2().attempts();
                Program.await("the new engine serves", () -> {
                    try {
                        return call(caller, 2000).fieldId() == SERVED && newEngine.attempts() > 0;
                    } catch (IOException e) {
                        throw new AssertionError(e);
                    }
                });
                assertTrue(attemptsBefore >= 0);
            }
        }
    }

    @Test
    public void sighupChangesTheServiceDiscoveryAndIgnoresAnInvalidFile() throws Exception {
        platform.configure("{");
        platform.program().sendSighup();
        String logLine = "configuration not reloaded: cause=";
        Program.await("the error is logged", () -> platform.program().log().contains(logLine));
        try (TestingServiceDiscovery newDiscovery = new TestingServiceDiscovery();
                TestingClient caller = platform.client()) {
            String port2 = "" + platform.engine2().port();
            newDiscovery.publish(true, "s-1", "" + platform.engine1().port(), "ready", "s-2", port2, "ready");
            platform.configure(newDiscovery);
            platform.program().sendSighup();
            platform.program().sendSighup();
            Program.await("the new service is polled", () -> newDiscovery.polls() > 0);
            platform.discovery().close();
            newDiscovery.publish(false, "s-1", "" + platform.engine1().port(), "gone");
            Program.await("the event has been received", () -> newDiscovery.lastDelivered() == 2);
            long attemptsBefore = platform.engine1().attempts();
            for (int i = 0; i < 10; i++) {
                assertEquals(call(caller, 2000).fieldId(), SERVED);
            }
            assertEquals(platform.engine1().attempts(), attemptsBefore);
            platform.program().sendSigterm();
            platform.program().sendSighup();
        }
        assertEquals(platform.program().awaitExitStatus(), 0, "SIGHUP during the shutdown");
    }

    @Test
    public void failsOpenRequestsBeforeSigkill() throws IOException, InterruptedException {
        platform.setBehavior(EngineBehavior.NO_RESPONSE);
        try (TestingClient caller = platform.client();
                TestingClient idleClient = platform.client()) {
            assertTrue(idleClient.callMethod("ping").ok());
            caller.send(TestingClient.fields(9000), "select 1");
            Program.await("the request runs", () -> attempts() == 1);
            long startNanos = System.nanoTime();
            platform.program().sendSigterm();
            assertEquals(caller.read().fieldId(), FAILED);
            assertEquals(platform.program().awaitExitStatus(), 0);
            assertTrue(System.nanoTime() - startNanos < TimeUnit.MILLISECONDS.toNanos(3700), "exits in time");
        }
    }

    @Test
    public void servesNewRequestsDuringGracefulShutdown() throws Exception {
        try (TestingClient existingClient = platform.client()) {
            assertTrue(existingClient.callMethod("ping").ok());
            platform.program().sendSigterm();
            Program.await(
                    "the shutdown has started", () -> platform.program().log().contains("SIGTERM"));
            try (TestingClient newClient = platform.client()) {
                assertEquals(call(newClient, 2000).fieldId(), SERVED);
                assertFalse(newClient.callMethod("ping").ok());
            }
            platform.setBehavior(EngineBehavior.NO_RESPONSE);
            existingClient.send(TestingClient.fields(2000), "select 1");
            assertEquals(existingClient.read().messageType(), REPLY);
            assertEquals(platform.program().awaitExitStatus(), 0);
        }
    }
}
