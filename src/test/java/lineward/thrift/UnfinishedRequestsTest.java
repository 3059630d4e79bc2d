package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.testing.RunCommand;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients that don't complete their requests, and clients that leave; with the memory of {@code run}. */
public class UnfinishedRequestsTest {
    private static final int SERVED = 0;
    private static final int CLIENTS = 400;
    private static final int DEADLINE_MS = 2500;
    private static final long DURATION_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** The memory that a configuration without another value allows. */
    private static final int MAX_MEMORY_MB = 192;

    private static final int LARGE_STATEMENT_BYTES = 60_000;
    private static final int SHORT_FIELDS = 5_000;
    /** Together less than a socket's receive buffer, so that the close has arrived behind them. */
    private static final int LAST_REQUESTS = 12;

    private static final int LAST_STATEMENT_BYTES = 4_000;
    /** Enough for the program to read all of the large requests meanwhile. */
    private static final int OTHER_REQUESTS = 300;

    private TestingPlatform platform;

    /** What each client sends, of which it keeps back the last byte. */
    private interface Request {
        byte[] encode(TestingClient client) throws IOException;
    }

    @BeforeMethod
    public void start() throws IOException {
        platform = new TestingPlatform(RunCommand.environment());
    }

    @AfterMethod(alwaysRun = true)
    public void stop() throws IOException {
        platform.close();
    }

    @DataProvider
    public Object[][] requests() {
        String statement = "x".repeat(LARGE_STATEMENT_BYTES);
        Request large = client -> client.encode(TestingClient.fields(DEADLINE_MS), statement);
        Request manyFields = client -> client.encode(shortFields(), "select 1");
        return new Object[][] {
            {"half of a large request", large, LARGE_STATEMENT_BYTES / 2},
            {"many short fields", manyFields, Integer.MAX_VALUE},
            {"a large request in small parts", large, 100}
        };
    }

    private static Map<String, String> shortFields() {
        Map<String, String> fields = new LinkedHashMap<>(TestingClient.fields(DEADLINE_MS));
        for (int i = 0; i < SHORT_FIELDS; i++) {
            fields.put("f" + i, "");
        }
        return fields;
    }

    /**
     * Guards against a process that hundreds of slow clients bring past its memory: they connect again
     * whenever they are closed, and the requests of another client are served in time.
     *
     * @param firstBytes bytes that are sent at once; the rest, but for the last byte, follows in such parts
     */
    @Test(dataProvider = "requests")
    public void staysWithinItsMemoryBesideHundredsOfSlowClients(String name, Request request, int firstBytes)
            throws IOException {
        List<SlowClient> clients = new ArrayList<>();
        int maxMemoryMb = 0;
        try (TestingClient other = platform.client()) {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new SlowClient(request, firstBytes));
            }
            long endNanos = System.nanoTime() + DURATION_NANOS;
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
                for (SlowClient client : clients) {
                    client.sendNextPart();
                }
            }
        } finally {
            for (SlowClient client : clients) {
                client.close();
            }
        }
        assertTrue(maxMemoryMb < MAX_MEMORY_MB, name + ": " + maxMemoryMb + " MB");
        String log = RunCommand.logWithoutOptions(platform.program());
        assertFalse(log.contains("OutOf"), log);
    }

    /** Sends all but the last byte of a request in parts, and connects again if it is closed. */
    private final class SlowClient {
        private final Request request;
        private final int partBytes;
        private TestingClient client;
        private byte[] bytes;
        private int sentBytes;

        SlowClient(Request request, int partBytes) throws IOException {
            this.request = request;
            this.partBytes = partBytes;
            connect();
        }

        private void connect() throws IOException {
            client = platform.client();
            bytes = request.encode(client);
            sentBytes = 0;
        }

        void sendNextPart() throws IOException {
            int length = Math.min(partBytes, bytes.length - 1 - sentBytes);
            byte[] part = new byte[length];
            System.arraycopy(bytes, sentBytes, part, 0, length);
            sentBytes += length;
            try {
                client.sendRaw(part);
            } catch (IOException e) {
                client.close();
                connect();
            }
        }

        void close() throws IOException {
            client.close();
        }
    }

    /**
     * Guards against requests that are forwarded although their client has left, because the end of the
     * connection is behind them, unread.
     */
    @Test
    public void forwardsNoRequestOfAClientThatHasLeft() throws IOException, InterruptedException {
        try (TestingClient other = platform.client()) {
            assertEquals(
                    other.call(TestingClient.fields(DEADLINE_MS), "select 1").fieldId(), SERVED);
            TestingClient leaving = platform.client();
            assertTrue(leaving.callMethod("ping").ok());
            long before = platform.attempts();
            platform.program().sendSignal("STOP");
            for (int i = 0; i < LAST_REQUESTS; i++) {
                leaving.send(TestingClient.fields(DEADLINE_MS), "x".repeat(LAST_STATEMENT_BYTES));
            }
            leaving.close();
            platform.program().sendSignal("CONT");
            // Each request takes a turn of the event loop, which also reads 16 KB of the other connection.
            for (int i = 0; i < OTHER_REQUESTS; i++) {
                assertEquals(
                        other.call(TestingClient.fields(DEADLINE_MS), "select 1")
                                .fieldId(),
                        SERVED);
            }
            assertEquals(platform.attempts() - before, OTHER_REQUESTS, "attempts of the other client only");
        }
    }
}
