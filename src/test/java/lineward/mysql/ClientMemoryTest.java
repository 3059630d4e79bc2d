package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lineward.testing.RunCommand;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Clients with a valid password that make the program keep as much as they can. It runs with the memory of
 * the {@code run} command; the statements of another client are served all the while.
 */
public class ClientMemoryTest extends TwoEngineFixture {
    /** Limit on the answer to a usual statement: the deadline of its class. */
    private static final long DEADLINE_MS = 1500;

    /** Maximum duration of an attack, as the program need not read what it can't answer. */
    private static final long ATTACK_NANOS = TimeUnit.SECONDS.toNanos(8);

    private static final int MEGABYTE = 1 << 20;
    private static final int LONG_PARAMETERS = 60;
    private static final int LONG_DATA_PART_BYTES = 1000;
    private static final int EMPTY_PARTS = 2_000_000;
    private static final int PLACEHOLDERS = 30_000;
    private static final int MANY_STATEMENTS = 250;
    private static final int CLIENTS = 150;
    private static final byte[] PING = {1, 0, 0, 0, 0x0e};
    private static final int PINGS = 2_000_000;
    private static final int PINGS_BEHIND_A_STATEMENT = 4_000;

    /** What a client does until the program closes its connection or it has sent everything. */
    private interface Attack {
        void run(ClientMemoryTest test, List<TestingMysqlClient> clients) throws IOException;
    }

    @Override
    Map<String, String> environment() throws IOException {
        return RunCommand.environment();
    }

    @DataProvider
    public Object[][] attacks() {
        return new Object[][] {
            {"60 MB of long parameters", (Attack) ClientMemoryTest::sendLongParameters},
            {"2 million empty parts of a long parameter", (Attack) ClientMemoryTest::sendEmptyParts},
            {"parameter types of many statements", (Attack) ClientMemoryTest::sendParameterTypes},
            {"pings whose answers are not read", (Attack) ClientMemoryTest::sendPings}
        };
    }

    /** Guards against buffers that are bounded for each client or statement, but not in all (review/8). */
    @Test(dataProvider = "attacks")
    public void servesOthersBesideAClientThatFillsTheMemory(String name, Attack attack) throws Exception {
        List<TestingMysqlClient> clients = Collections.synchronizedList(new ArrayList<>());
        Thread attacker = new Thread(() -> runUntilClosed(attack, clients), name);
        try (TestingMysqlClient other = client()) {
            other.packets.socket.setSoTimeout(5000);
            attacker.start();
            int served = 0;
            long endNanos = System.nanoTime() + ATTACK_NANOS;
            while (served < 10 || (attacker.isAlive() && System.nanoTime() < endNanos)) {
                long sentNanos = System.nanoTime();
                assertEquals(other.query("select rows=3").rows().size(), 3, name);
                long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
                assertTrue(tookMs < DEADLINE_MS, name + ": " + tookMs + " ms");
                served++;
            }
            try (TestingMysqlClient later = client()) {
                assertEquals(later.query("select rows=3").rows().size(), 3, name);
            }
            assertNoMemoryError();
        } finally {
            for (TestingMysqlClient client : List.copyOf(clients)) {
                client.close();
            }
            attacker.join(TimeUnit.NANOSECONDS.toMillis(ATTACK_NANOS));
        }
    }

    /** Guards against many small packets that each client may have waiting behind its running statement. */
    @Test
    public void keepsFewPacketsBehindRunningStatements() throws IOException {
        byte[] statement = MysqlPacketSocket.encode(3, TestingMysqlEngine.SILENT_TEXT);
        ByteArrayOutputStream packets = new ByteArrayOutputStream();
        packets.writeBytes(MysqlPacketSocket.encode(statement.length, 0, 0, 0, statement));
        for (int i = 0; i < PINGS_BEHIND_A_STATEMENT; i++) {
            packets.writeBytes(PING);
        }
        List<TestingMysqlClient> clients = new ArrayList<>();
        try {
            for (int i = 0; i < CLIENTS; i++) {
                clients.add(client());
            }
            for (TestingMysqlClient client : clients) {
                client.packets.socket.getOutputStream().write(packets.toByteArray());
            }
            for (TestingMysqlClient client : clients) {
                assertEquals(client.packets.read()[0] & 0xff, 0xff, "the statement is rejected or fails");
                for (int i = 0; i < PINGS_BEHIND_A_STATEMENT; i++) {
                    assertEquals(client.packets.read()[0], 0, "ping " + i);
                }
            }
            assertNoMemoryError();
        } finally {
            for (TestingMysqlClient client : clients) {
                client.close();
            }
        }
    }

    private void assertNoMemoryError() {
        String log = RunCommand.logWithoutOptions(program);
        assertFalse(log.contains("OutOf"), log);
    }

    private void runUntilClosed(Attack attack, List<TestingMysqlClient> clients) {
        try {
            attack.run(this, clients);
        } catch (IOException e) {
            // The program has closed the connection.
        }
    }

    private TestingMysqlClient attacker(List<TestingMysqlClient> clients) throws IOException {
        TestingMysqlClient client = client();
        client.packets.socket.setSoTimeout(3000);
        clients.add(client);
        return client;
    }

    private void sendLongParameters(List<TestingMysqlClient> clients) throws IOException {
        TestingMysqlClient client = attacker(clients);
        for (int i = 0; i < LONG_PARAMETERS; i++) {
            TestingMysqlClient.Statement statement = client.prepare("insert into t values (" + i + ", ?)");
            byte[] part = longDataPacket(statement.id(), new byte[LONG_DATA_PART_BYTES]);
            sendRepeatedly(client.packets.socket, part, MEGABYTE / LONG_DATA_PART_BYTES);
        }
    }

    private void sendEmptyParts(List<TestingMysqlClient> clients) throws IOException {
        TestingMysqlClient client = attacker(clients);
        TestingMysqlClient.Statement statement = client.prepare("insert into t values (?)");
        sendRepeatedly(client.packets.socket, longDataPacket(statement.id(), new byte[0]), EMPTY_PARTS);
    }

    /** A statement keeps the types of its parameters, two bytes each, from its first execution on. */
    private void sendParameterTypes(List<TestingMysqlClient> clients) throws IOException {
        String[] values = Collections.nCopies(PLACEHOLDERS, "").toArray(String[]::new);
        String placeholders = String.join(",", Collections.nCopies(PLACEHOLDERS, "?"));
        for (int i = 0; i < 4; i++) {
            TestingMysqlClient client = attacker(clients);
            int code = 0;
            for (int j = 0; code == 0 && j < MANY_STATEMENTS; j++) {
                TestingMysqlClient.Statement statement = client.prepare(j + " in (" + placeholders + ")");
                code = statement.result().code();
                if (code == 0) {
                    client.execute(statement, true, values);
                }
            }
        }
    }

    private void sendPings(List<TestingMysqlClient> clients) throws IOException {
        Socket socket = attacker(clients).packets.socket;
        sendRepeatedly(socket, PING, PINGS);
    }

    private static byte[] longDataPacket(long statementId, byte[] part) {
        byte[] payload = MysqlPacketSocket.encode(0x18, statementId, 0, 0, part);
        return MysqlPacketSocket.encode(payload.length & 0xff, payload.length >> 8, 0, 0, payload);
    }

    /** Sends the packet as often as stated, in large writes, until the program closes the connection. */
    private static void sendRepeatedly(Socket socket, byte[] packet, int count) throws IOException {
        int batchCount = Math.max(1, MEGABYTE / 16 / packet.length);
        ByteArrayOutputStream batch = new ByteArrayOutputStream();
        for (int i = 0; i < batchCount; i++) {
            batch.writeBytes(packet);
        }
        for (int sent = 0; sent < count; sent += batchCount) {
            int packets = Math.min(batchCount, count - sent);
            socket.getOutputStream().write(batch.toByteArray(), 0, packets * packet.length);
        }
    }
}
