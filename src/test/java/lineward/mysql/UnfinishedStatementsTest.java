package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.testing.RunCommand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients that don't complete their statements; with the memory of the {@code run} command. */
public class UnfinishedStatementsTest extends TwoEngineFixture {
    private static final int CLIENTS = 400;
    private static final long DEADLINE_MS = 1500;
    private static final long DURATION_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** The memory that a configuration without another value allows. */
    private static final int MAX_MEMORY_MB = 192;

    private static final int STATEMENT_BYTES = 90_000;

    @Override
    Map<String, String> environment() throws IOException {
        return RunCommand.environment();
    }

    @Override
    String limits() {
        return "clients = 500";
    }

    @DataProvider
    public Object[][] slowness() {
        return new Object[][] {
            {"half of a large statement", STATEMENT_BYTES / 2, STATEMENT_BYTES / 2},
            {"a large statement in small parts", STATEMENT_BYTES, 500}
        };
    }

    /**
     * Guards against a process that hundreds of slow clients bring past its memory, or in which the
     * statements of another client are late.
     *
     * @param bytes how much of the statement each client sends
     * @param partBytes how much of it at once
     */
    @Test(dataProvider = "slowness")
    public void servesOthersBesideManySlowClients(String name, int bytes, int partBytes) throws IOException {
        List<SlowClient> clients = new ArrayList<>();
        int maxMemoryMb = 0;
        try (TestingMysqlClient other = client()) {
            other.packets.socket.setSoTimeout(5000);
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(new SlowClient(bytes, partBytes));
            }
            long endNanos = System.nanoTime() + DURATION_NANOS;
            while (System.nanoTime() < endNanos) {
                long sentNanos = System.nanoTime();
                assertEquals(other.query("select rows=3").rows().size(), 3, name);
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                assertTrue(tookMs < DEADLINE_MS, name + ": " + tookMs + " ms");
                maxMemoryMb = Math.max(maxMemoryMb, program.memoryMb());
                for (SlowClient client : clients) {
                    client.sendNextPart();
                }
            }
        } finally {
            for (SlowClient client : clients) {
                client.client.close();
            }
        }
        assertTrue(maxMemoryMb < MAX_MEMORY_MB, name + ": " + maxMemoryMb + " MB");
        String log = RunCommand.logWithoutOptions(program);
        assertFalse(log.contains("OutOf"), log);
    }

    /** Logs in, sends the first bytes of a statement in parts, and connects again if it is closed. */
    private final class SlowClient {
        private final int bytes;
        private final int partBytes;
        private TestingMysqlClient client;
        private byte[] packet;
        private int sentBytes;

        SlowClient(int bytes, int partBytes) throws IOException {
            this.bytes = bytes;
            this.partBytes = partBytes;
            connect();
        }

        private void connect() throws IOException {
            client = client();
            byte[] command = MysqlPacketSocket.encode(3, "x".repeat(STATEMENT_BYTES));
            int length = command.length;
            packet = MysqlPacketSocket.encode(length & 0xff, length >> 8 & 0xff, length >> 16, 0, command);
            sentBytes = 0;
        }

        void sendNextPart() throws IOException {
            int length = Math.min(partBytes, bytes - sentBytes);
            Socket socket = client.packets.socket;
            try {
                socket.getOutputStream().write(packet, sentBytes, length);
                sentBytes += length;
            } catch (IOException e) {
                client.close();
                connect();
            }
        }
    }
}
