package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lineward.testing.EngineBehavior;
import lineward.testing.Program;
import lineward.testing.ProgramMetrics;
import lineward.testing.TestingClient;
import lineward.testing.TestingPlatform;
import org.testng.annotations.Test;

/** Floods of connections and of requests: other clients are served, and all resources stay bounded. */
public class OverloadTest {
    private static final int SERVED = 0;
    private static final int FRAMES = 5000;
    private static final int MAX_OPEN_CALLS = 32;
    private static final int SOCKETS = 256;
    /** Maximum percentage of the descriptors for clients and engines; the program itself uses the rest. */
    private static final int MAX_PERCENT = 85;

    private static final String LIMITS = "-Xmx64m -Xss512k -XX:MaxMetaspaceSize=48m";
    private static final int MEMORY_MB = 192;

    /** A connection sends thousands of frames at once and closes. */
    @Test
    public void releasesTheRequestsOfAClosedFlood() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of("JAVA_TOOL_OPTIONS", LIMITS));
                TestingClient other = platform.client()) {
            assertEquals(other.call(TestingClient.fields(2000), "select 1").field(), SERVED);
            for (int round = 0; round < 10; round++) {
                try (TestingClient flood = platform.client()) {
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    for (int i = 0; i < FRAMES; i++) {
                        all.write(flood.encode(TestingClient.fields(2000), "select 1"));
                    }
                    flood.sendRaw(all.toByteArray());
                    flood.socket().shutdownOutput();
                } catch (SocketException e) {
                    assertTrue(platform.program().isAlive(), "the program closed the connection: " + e);
                }
                assertEquals(other.call(TestingClient.fields(2000), "select 1").field(), SERVED);
            }
            Program.await("no request stays open", () -> figure(platform, "edge_relay_open_requests") == 0);
            assertTrue(platform.attempts() <= 10 * MAX_OPEN_CALLS + 11, platform.attempts() + " attempts");
            assertTrue(
                    platform.program().memoryMb() <= MEMORY_MB,
                    platform.program().memoryMb() + " MB");
            assertTrue(figure(platform, "edge_relay_unread_answer_bytes") == 0);
        }
    }

    /**
     * More connections than descriptors, first silent ones, then idle ones, while service discovery is down:
     * the program can still reach service discovery and the engines, and new clients are served.
     */
    @Test
    public void idleClientsDoNotBlockOthers() throws IOException {
        List<Socket> crowd = new ArrayList<>();
        Map<String, String> variables = Map.of("JAVA_TOOL_OPTIONS", LIMITS);
        try (TestingPlatform platform = new TestingPlatform(variables, null, 2, 2, SOCKETS)) {
            platform.discovery().setFailing(true);
            int most = platform.program().descriptors() + SOCKETS * MAX_PERCENT / 100;
            for (int i = 0; i < 2 * SOCKETS; i++) {
                crowd.add(new Socket(
                        InetAddress.getLoopbackAddress(), platform.program().port()));
                int now = platform.program().descriptors();
                assertTrue(now <= most, now + " descriptors");
            }
            for (int i = 0; i < 2 * SOCKETS; i++) {
                TestingClient resting = platform.client();
                crowd.add(resting.socket());
                assertEquals(
                        resting.call(TestingClient.fields(2000), "select 1").field(), SERVED);
                int now = platform.program().descriptors();
                assertTrue(now <= most, now + " descriptors");
            }
            platform.discovery().publish(false, platform.endpoints(1, 1, "draining"));
            platform.discovery().setFailing(false);
            platform.awaitEventsReceived();
            long before = platform.engine1().attempts();
            try (TestingClient late = platform.client()) {
                assertEquals(late.call(TestingClient.fields(2000), "select 1").field(), SERVED);
            }
            assertEquals(platform.engine1().attempts(), before, "the drain is in effect");
            assertTrue(
                    platform.program().memoryMb() <= MEMORY_MB,
                    platform.program().memoryMb() + " MB");
        } finally {
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }

    /** Endless replies on each connection of one engine end only their own attempts. */
    @Test
    public void endlessRepliesAreBounded() throws IOException {
        try (TestingPlatform platform = new TestingPlatform(Map.of("JAVA_TOOL_OPTIONS", LIMITS));
                TestingClient caller = platform.client()) {
            platform.engine1().setBehavior(EngineBehavior.ENDLESS_REPLY);
            for (int i = 0; i < 20; i++) {
                assertEquals(caller.call(TestingClient.fields(2000), "select 1").field(), SERVED);
            }
            assertTrue(
                    platform.program().memoryMb() <= MEMORY_MB,
                    platform.program().memoryMb() + " MB");
        }
    }

    private static int figure(TestingPlatform platform, String name) {
        try {
            return ProgramMetrics.read(platform.program()).get(name);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
