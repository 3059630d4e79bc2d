package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import lineward.testing.RequestFields;
import lineward.testing.RunCommand;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * One client that sends small or invalid requests at full speed, under ever new ids. The program runs with
 * the memory of the {@code run} command; the requests of another client are served in time all the while.
 */
public class CallMemoryTest {
    private static final int SERVED = 0;
    private static final int DEADLINE_MS = 2500;
    private static final long FLOOD_NANOS = TimeUnit.SECONDS.toNanos(6);
    /** Requests in one write. */
    private static final int BATCH = 16;
    /** The memory that a configuration without another value allows. */
    private static final int MAX_MEMORY_MB = 192;

    private TestingPlatform platform;
    private final AtomicLong sentCount = new AtomicLong();

    /** Sends one batch of requests. */
    private interface Flood {
        void send(TestingClient client) throws IOException;
    }

    @BeforeMethod
    public void start() throws IOException {
        platform = new TestingPlatform(RunCommand.environment());
        sentCount.set(0);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    @DataProvider
    public Object[][] floods() {
        return new Object[][] {
            {"aborted requests", (Flood) CallMemoryTest::sendAborted},
            {"requests without time left", (Flood) CallMemoryTest::sendExpired},
            {"requests of unknown classes", (Flood) CallMemoryTest::sendUnknownClasses}
        };
    }

    /** Guards against state that each small request of one client leaves behind for some seconds. */
    @Test(dataProvider = "floods")
    public void servesOthersBesideAFlood(String name, Flood flood) throws Exception {
        long endNanos = System.nanoTime() + FLOOD_NANOS;
        int maxMemoryMb = 0;
        try (TestingClient flooding = platform.client();
                TestingClient other = platform.client()) {
            Thread reader = new Thread(() -> discardResponses(flooding), "reader of " + name);
            Thread sender = new Thread(() -> sendUntil(endNanos, flood, flooding), name);
            reader.setDaemon(true);
            reader.start();
            sender.start();
            while (System.nanoTime() < endNanos) {
                long sentNanos = System.nanoTime();
                assertEquals(
                        other.call(TestingClient.fields(DEADLINE_MS), "select 1")
                                .fieldId(),
                        SERVED,
                        name);
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                assertTrue(tookMs < DEADLINE_MS, name + ": " + tookMs + " ms");
                maxMemoryMb = Math.max(maxMemoryMb, platform.program().memoryMb());
            }
            sender.join();
        }
        assertTrue(maxMemoryMb < MAX_MEMORY_MB, name + ": " + maxMemoryMb + " MB after " + sentCount);
        String log = RunCommand.logWithoutOptions(platform.program());
        assertFalse(log.contains("OutOf"), log);
    }

    private void sendUntil(long endNanos, Flood flood, TestingClient client) {
        try {
            while (System.nanoTime() < endNanos) {
                flood.send(client);
                sentCount.addAndGet(BATCH);
            }
        } catch (IOException e) {
            // The program has closed the connection.
        }
    }

    private static void discardResponses(TestingClient client) {
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream responses = client.socket().getInputStream();
            while (responses.read(buffer) >= 0) {
                // The responses don't matter.
            }
        } catch (IOException e) {
            // The connection is closed.
        }
    }

    private static void sendAborted(TestingClient client) throws IOException {
        for (int i = 0; i < BATCH; i++) {
            client.abort(client.send(TestingClient.fields(DEADLINE_MS), "select 1"));
        }
    }

    private static void sendExpired(TestingClient client) throws IOException {
        for (int i = 0; i < BATCH; i++) {
            client.send(TestingClient.fields(1), "select 1");
        }
    }

    private static void sendUnknownClasses(TestingClient client) throws IOException {
        for (int i = 0; i < BATCH; i++) {
            Map<String, String> fields = TestingClient.fields(DEADLINE_MS);
            fields.put(RequestFields.REQUEST_CLASS, "class " + fields.get(RequestFields.REQUEST_ID));
            client.send(fields, "select 1");
        }
    }
}
