package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.testing.Program;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import lineward.testing.TestingServiceDiscovery;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Polls of the endpoint list while service discovery is unresponsive, failing or unreachable. */
public class EndpointListPollTest {
    private static final int SERVED = 0;
    /** The front end must apply an event within this time; the grace period of a drain is 1 s. */
    private static final long MAX_NOTIFICATION_MS = 7000;

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
