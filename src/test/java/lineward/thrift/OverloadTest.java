package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.ProgramMetrics;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import lineward.testing.ThriftResponse;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Floods of connections and of requests: other clients are served, and all resources stay bounded. */
public class OverloadTest {
    private static final int SERVED = 0;
    private static final int FRAMES = 5000;
    private static final int MAX_OPEN_CALLS = 32;
    private static final int DESCRIPTORS = 256;
    /** Maximum percentage of the descriptors for clients and engines; the program itself uses the rest. */
    private static final int MAX_PERCENT = 85;

    private static final String JVM_OPTIONS = "-Xmx64m -Xss512k -XX:MaxMetaspaceSize=48m";
    private static final int MAX_MEMORY_MB = 192;
    private static final int DIRECT_MEMORY_BYTES = 4 << 20;
    private static final int INCOMPLETE_CLIENTS = 100;
    private static final int MAX_STATEMENT_BYTES = 65_000;
    private static final int LARGE_STATEMENT_BYTES = 40_000;
    private static final int CALLS_OF_OTHER_CLIENT = 30;

    /** A connection sends thousands of frames at once and closes. */
    @Test
    public void releasesTheRequestsOfAFloodingClient() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of("JAVA_TOOL_OPTIONS", JVM_OPTIONS));
                TestingClient other = platform.client()) {
            assertEquals(other.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
            for (int round = 0; round < 10; round++) {
                try (TestingClient floodingClient = platform.client()) {
                    ByteArrayOutputStream frames = new ByteArrayOutputStream();
                    for (int i = 0; i < FRAMES; i++) {
                        frames.write(floodingClient.encode(TestingClient.fields(2000), "select 1"));
                    }
                    floodingClient.sendRaw(frames.toByteArray());
                    floodingClient.socket().shutdownOutput();
                } catch (SocketException e) {
                    assertTrue(platform.program().isAlive(), "the program closed the connection: " + e);
                }
                assertEquals(other.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
            }
            Program.await("no request stays open", () -> metric(platform, "edge_relay_open_requests") == 0);
            assertTrue(platform.attempts() <= 10 * MAX_OPEN_CALLS + 11, platform.attempts() + " attempts");
            assertTrue(
                    platform.program().memoryMb() <= MAX_MEMORY_MB,
                    platform.program().memoryMb() + " MB");
            assertTrue(metric(platform, "edge_relay_unread_answer_bytes") == 0);
        }
    }

    /**
     * More connections than descriptors, first silent ones, then idle ones, while service discovery is down:
     * the program can still reach service discovery and the engines, and new clients are served.
     */
    @Test
    public void idleClientsDoNotBlockOthers() throws IOException {
        List<Socket> sockets = new ArrayList<>();
        Map<String, String> variables = Map.of("JAVA_TOOL_OPTIONS", JVM_OPTIONS);
        try (TestingPlatform platform = new TestingPlatform(variables, null, 2, 2, DESCRIPTORS)) {
            platform.discovery().setFailing(true);
            int maxDescriptors = platform.program().descriptors() + DESCRIPTORS * MAX_PERCENT / 100;
            for (int i = 0; i < 2 * DESCRIPTORS; i++) {
                sockets.add(new Socket(
                        InetAddress.getLoopbackAddress(), platform.program().port()));
                int descriptors = platform.program().descriptors();
                assertTrue(descriptors <= maxDescriptors, descriptors + " descriptors");
            }
            for (int i = 0; i < 2 * DESCRIPTORS; i++) {
                TestingClient idleClient = platform.client();
                sockets.add(idleClient.socket());
                assertEquals(
                        idleClient.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
                int descriptors = platform.program().descriptors();
                assertTrue(descriptors <= maxDescriptors, descriptors + " descriptors");
            }
            platform.discovery().publish(false, platform.endpoints(1, 1, "draining"));
            platform.discovery().setFailing(false);
            platform.awaitEventsReceived();
            long attemptsBefore = platform.engine1().attempts();
            try (TestingClient newClient = platform.client()) {
                assertEquals(
                        newClient.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
            }
            assertEquals(platform.engine1().attempts(), attemptsBefore, "the drain is in effect");
            assertTrue(
                    platform.program().memoryMb() <= MAX_MEMORY_MB,
                    platform.program().memoryMb() + " MB");
        } finally {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    /** Endless replies on each connection of one engine end only their own attempts. */
    @Test
    public void endlessRepliesAreBounded() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of("JAVA_TOOL_OPTIONS", JVM_OPTIONS));
                TestingClient caller = platform.client()) {
            platform.engine1().setBehavior(EngineBehavior.ENDLESS_REPLY);
            for (int i = 0; i < 20; i++) {
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").fieldId(), SERVED);
            }
            assertTrue(
                    platform.program().memoryMb() <= MAX_MEMORY_MB,
                    platform.program().memoryMb() + " MB");
        }
    }

    /** Whether the clients with an incomplete request have sent a complete message before. */
    @DataProvider
    public Object[][] incompleteClients() {
        return new Object[][] {{false}, {true}};
    }

    /**
     * More incomplete requests than the direct memory holds, and floods of large ones: a client with large
     * requests keeps its connection and is answered. Guards against connections that are closed because other
     * clients have used up the direct memory (review/3).
     */
    @Test(dataProvider = "incompleteClients")
    public void incompleteRequestsCloseNoOtherConnection(boolean haveSentMessage) throws IOException {
        String options = JVM_OPTIONS + " -Dio.netty.maxDirectMemory=" + DIRECT_MEMORY_BYTES;
        Map<String, String> variables = Map.of("JAVA_TOOL_OPTIONS", options);
        String statement = "select " + "1,".repeat(LARGE_STATEMENT_BYTES / 2) + "1";
        List<TestingClient> incomplete = new ArrayList<>();
        try (TestingPlatform platform = new TestingPlatform(variables);
                TestingClient other = platform.client()) {
            assertEquals(other.call(TestingClient.fields(2000), statement).fieldId(), SERVED);
            for (int i = 0; i < INCOMPLETE_CLIENTS; i++) {
                TestingClient client = platform.client();
                incomplete.add(client);
                if (haveSentMessage) {
                    client.callMethod("ping");
                }
                byte[] frame = client.encode(TestingClient.fields(2000), "1".repeat(MAX_STATEMENT_BYTES));
                client.sendRaw(Arrays.copyOf(frame, frame.length - 1));
            }
            for (int i = 0; i < CALLS_OF_OTHER_CLIENT; i++) {
                ThriftResponse response = other.call(TestingClient.fields(2000), statement);
                assertEquals(response.fieldId(), SERVED, "call " + i);
            }
            String log = platform.program().log();
            assertFalse(log.contains("OutOfDirectMemoryError"), log);
        } finally {
            for (TestingClient client : incomplete) {
                client.close();
            }
        }
    }

    private static int metric(TestingPlatform platform, String name) {
        try {
            return ProgramMetrics.read(platform.program()).get(name);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
