package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lineward.testing.Program;
import lineward.testing.TestingClient;
import lineward.testing.TestingEngine;
import lineward.testing.TestingPlatform;
import lineward.testing.TestingServiceDiscovery;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Polls of the endpoint list while service discovery is unresponsive, failing or unreachable. */
public class EndpointListPollTest {
    private static final int SERVED = 0;
    /** The front end must apply an event within this time; the grace period of a drain is 1 s. */
    private static final long MAX_NOTIFICATION_MS = 7000;

    private static final long DRAIN_GRACE_MS = 1000;
    /** The front end must leave a service that does not respond within this time. */
    private static final long MAX_SWITCH_MS = 4000;

    /** An engine starts to drain while the open poll gets neither a response nor a close. */
    @Test
    public void receivesADrainInTimeAfterAnUnresponsivePoll() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of())) {
            int pollsBefore = platform.discovery().polls();
            platform.discovery().setUnresponsive(true);
            Program.await(
                    "a poll is open that gets no response",
                    () -> platform.discovery().polls() > pollsBefore);
            long publishedNanos = System.nanoTime();
            platform.discovery().publish(false, platform.endpoints(1, 1, "draining"));
            platform.discovery().setUnresponsive(false);
            platform.awaitEventsReceived();
            long maxNanos = TimeUnit.MILLISECONDS.toNanos(MAX_NOTIFICATION_MS);
            assertTrue(System.nanoTime() - publishedNanos < maxNanos, "notified in time");
            assertFirstEngineGetsNoAttempt(platform);
        }
    }

    /** How service discovery is slow, and whether already when the program starts. */
    @DataProvider
    public Object[][] slowDiscoveries() {
        return new Object[][] {
            {"slow from the start", 5500, true, false},
            {"slow from a moment on", 5500, false, false},
            {"slow near the bound", 6900, false, false},
            {"slow, and some connections get no response", 5500, false, true}
        };
    }

    /** Guards against a client that closes each connection before a slow response arrives. */
    @Test(dataProvider = "slowDiscoveries")
    public void learnsOfADrainAndOfANewEngineFromASlowDiscovery(
            String name, int delayMs, boolean fromTheStart, boolean halfUnresponsive) throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of());
                TestingServiceDiscovery slow = new TestingServiceDiscovery();
                TestingEngine newEngine = new TestingEngine(platform.concurrentRuns())) {
            slow.publish(true, platform.endpoints(1, 2, "ready"));
            slow.setResponseDelayMs(fromTheStart ? delayMs : 0);
            platform.configure(slow);
            try (Program program = platform.startOnOwnSocket()) {
                int pollsBefore = slow.polls();
                Program.await("the program polls", () -> slow.polls() > pollsBefore);
                slow.setResponseDelayMs(delayMs);
                slow.setHalfUnresponsive(halfUnresponsive);
                long publishedNanos = System.nanoTime();
                slow.publish(false, drainAndNewEngine(platform, newEngine));
                Program.await("the event is received", () -> slow.lastDelivered() == slow.lastPublished());
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - publishedNanos);
                assertTrue(tookMs < MAX_NOTIFICATION_MS + DRAIN_GRACE_MS, name + ": " + tookMs + " ms");
                long attemptsBefore = platform.engine1().attempts();
                callUntilUsed(newEngine, program);
                assertEquals(platform.engine1().attempts(), attemptsBefore);
            }
        }
    }

    private static void callUntilUsed(TestingEngine engine, Program program) throws IOException {
        try (TestingClient caller = new TestingClient(program.port())) {
            Program.await("the engine is used", () -> {
                assertServed(caller);
                return engine.attempts() > 0;
            });
        }
    }

    private static String[] drainAndNewEngine(TestingPlatform platform, TestingEngine newEngine) {
        String[] draining = platform.endpoints(1, 1, "draining");
        return Stream.concat(Stream.of(draining), Stream.of("s-9", "" + newEngine.port(), "ready"))
                .toArray(String[]::new);
    }

    private static void assertServed(TestingClient caller) {
        try {
            assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A service that was slow and has stopped responding is left for the one in the configuration file. */
    @Test
    public void leavesASlowDiscoveryOnceItNoLongerResponds() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of());
                TestingServiceDiscovery next = new TestingServiceDiscovery()) {
            platform.discovery().setResponseDelayMs(2500);
            platform.discovery().publish(false, platform.endpoints(2, 2, "ready"));
            platform.awaitEventsReceived();
            next.publish(true, platform.endpoints(2, 2, "ready"));
            long stoppedNanos = System.nanoTime();
            platform.discovery().setUnresponsive(true);
            platform.configure(next);
            Program.await("the program polls the next service", () -> next.polls() > 0);
            long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - stoppedNanos);
            assertTrue(tookMs < MAX_SWITCH_MS, "polled after " + tookMs + " ms");
        }
    }

    private static void assertFirstEngineGetsNoAttempt(TestingPlatform platform) throws IOException {
        long attemptsBefore = platform.engine1().attempts();
        try (TestingClient caller = platform.client()) {
            for (int i = 0; i < 10; i++) {
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
            }
        }
        assertEquals(platform.engine1().attempts(), attemptsBefore);
    }

    /** Events are repeated and states come in any order; the last event applies. */
    @Test
    public void appliesTheLastOfRepeatedDrainEvents() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of())) {
            platform.discovery().publish(false, platform.endpoints(1, 1, "draining"));
            platform.discovery().publish(false, platform.endpoints(1, 1, "draining"));
            platform.discovery().publish(false, platform.endpoints(1, 1, "gone"));
            platform.discovery().publish(false, platform.endpoints(1, 1, "draining"));
            platform.awaitEventsReceived();
            assertFirstEngineGetsNoAttempt(platform);
            long attemptsBefore = platform.engine1().attempts();
            platform.discovery().publish(false, platform.endpoints(1, 1, "ready"));
            platform.discovery().publish(false, platform.endpoints(2, 2, "gone"));
            platform.awaitEventsReceived();
            try (TestingClient caller = platform.client()) {
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
            }
            assertTrue(platform.engine1().attempts() > attemptsBefore, "the engine is used again");
        }
    }

    /** State of service discovery while the program starts. */
    @DataProvider
    public Object[][] discoveryStates() {
        return new Object[][] {{"gone"}, {"broken"}, {"silent"}};
    }

    /** The program starts with the configured list; later events arrive once the service responds. */
    @Test(dataProvider = "discoveryStates")
    public void startsWithoutServiceDiscovery(String discoveryState) throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of());
                TestingServiceDiscovery discovery = new TestingServiceDiscovery()) {
            discovery.publish(true, platform.endpoints(1, 2, "ready"));
            discovery.setFailing(discoveryState.equals("broken"));
            discovery.setUnresponsive(discoveryState.equals("silent"));
            platform.configure(discovery);
            if (discoveryState.equals("gone")) {
                discovery.stop();
            }
            long startNanos = System.nanoTime();
            try (Program program = platform.startOnOwnSocket();
                    TestingClient caller = new TestingClient(program.port())) {
                assertTrue(caller.callMethod("ping").ok());
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
                assertTrue(System.nanoTime() - startNanos < TimeUnit.SECONDS.toNanos(10), "ready in time");
                if (!discoveryState.equals("gone")) {
                    discovery.publish(false, platform.endpoints(1, 1, "gone"));
                    discovery.setFailing(false);
                    discovery.setUnresponsive(false);
                    Program.await("the program has received the event", () -> discovery.lastDelivered() == 2);
                }
            }
        }
    }
}
