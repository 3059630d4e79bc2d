package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Clients whose packets together exceed the memory for them: other clients are served. */
public class LargePacketsTest extends TwoEngineFixture {
    private static final int DIRECT_MEMORY_BYTES = 4 << 20;
    private static final int INCOMPLETE_CLIENTS = 60;
    /** Below the limit of a packet that the fixture configures. */
    private static final int PACKET_BYTES = 99_000;

    private static final int STATEMENTS = 30;
    /** Enough to exceed the memory for open statements, an eighth of the heap. */
    private static final int WAITING_CLIENTS = 60;

    private static final String NOT_ADMITTED_TEXT = "come back in 500 ms";

    @Override
    Map<String, String> environment() {
        return Map.of("JAVA_TOOL_OPTIONS", "-Xmx32m -Dio.netty.maxDirectMemory=" + DIRECT_MEMORY_BYTES);
    }

    /** Whether the clients with an incomplete packet have logged in. */
    @DataProvider
    public Object[][] incompleteClients() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * Guards against connections that are closed because other clients have used up the direct memory
     * (review/3).
     */
    @Test(dataProvider = "incompleteClients")
    public void incompletePacketsCloseNoOtherConnection(boolean loggedIn) throws IOException {
        List<Socket> incomplete = new ArrayList<>();
        try (TestingMysqlClient other = client()) {
            for (int i = 0; i < INCOMPLETE_CLIENTS; i++) {
                Socket socket = loggedIn ? client().packets.socket : connect();
                incomplete.add(socket);
                sendIncompletePacket(socket);
            }
            String statement = "select rows=1 " + "x".repeat(PACKET_BYTES / 2);
            for (int i = 0; i < STATEMENTS; i++) {
                TestingMysqlClient.Result result = other.query(statement);
                assertEquals(result.code(), 0, "statement " + i + ": " + result.message());
                assertEquals(result.rows().size(), 1, "statement " + i);
            }
            assertFalse(program.log().contains("OutOfDirectMemoryError"), program.log());
        } finally {
            for (Socket socket : incomplete) {
                socket.close();
            }
        }
    }

    /** Statements beyond the memory for open ones are rejected at once, and later ones are served. */
    @Test
    public void rejectsStatementsBeyondTheMemoryForThem() throws IOException {
        setFault(TestingMysqlEngine.Fault.SILENT);
        String statement = "select rows=1 " + "x".repeat(PACKET_BYTES);
        List<TestingMysqlClient> waiting = new ArrayList<>();
        try {
            for (int i = 0; i < WAITING_CLIENTS; i++) {
                TestingMysqlClient client = client();
                waiting.add(client);
                client.send(3, statement);
            }
            int notAdmitted = 0;
            for (TestingMysqlClient client : waiting) {
                String reply = new String(client.packets.read(), StandardCharsets.UTF_8);
                notAdmitted += reply.contains(NOT_ADMITTED_TEXT) ? 1 : 0;
            }
            assertTrue(notAdmitted > 0 && notAdmitted < WAITING_CLIENTS, notAdmitted + " not admitted");
        } finally {
            for (TestingMysqlClient client : waiting) {
                client.close();
            }
        }
        setFault(TestingMysqlEngine.Fault.NONE);
        try (TestingMysqlClient client = client()) {
            for (int i = 0; i < 2 * WAITING_CLIENTS; i++) {
                assertEquals(client.query(statement).rows().size(), 1, "statement " + i);
            }
        }
    }

    private Socket connect() throws IOException {
        return new Socket(InetAddress.getLoopbackAddress(), program.port());
    }

    private void setFault(TestingMysqlEngine.Fault fault) {
        one.fault = fault;
        two.fault = fault;
    }

    /** Sends all but the last byte of a packet. */
    private static void sendIncompletePacket(Socket socket) throws IOException {
        byte[] payload = MysqlPacketSocket.encode(3, "select " + "1".repeat(PACKET_BYTES));
        int length = payload.length;
        byte[] packet = MysqlPacketSocket.encode(length & 0xff, length >> 8 & 0xff, length >> 16, 0, payload);
        socket.getOutputStream().write(packet, 0, packet.length - 1);
    }
}
