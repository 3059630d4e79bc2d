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
import lineward.Program;
import lineward.thrift.StandInLines.Mode;
import org.testng.annotations.Test;

/** Crowds and floods: others are served meanwhile, and nothing grows past its bound. */
public class FloodTest {
    private static final int SERVED = 0;
    private static final int FRAMES = 5000;
    private static final int MOST_OPEN = 32;
    private static final int SOCKETS = 256;
    /** What clients and engines may take of the descriptors; the rest is the program's own. */
    private static final int MOST_PERCENT = 85;

    private static final String LIMITS = "-Xmx64m -Xss512k -XX:MaxMetaspaceSize=48m";
    private static final int MEMORY_MB = 192;

    /** One connection sends thousands of frames at once and goes. */
    @Test
    public void aFloodThatGoesLeavesNothingBehind() throws IOException {
        try (Platform platform = new Platform(Map.of("JAVA_TOOL_OPTIONS", LIMITS));
                StandInCaller other = platform.caller()) {
            assertEquals(other.call(StandInCaller.fields(2000), "select 1").field(), SERVED);
            for (int round = 0; round < 10; round++) {
                try (StandInCaller flood = platform.caller()) {
                    ByteArrayOutputStream all = new ByteArrayOutputStream();
                    for (int i = 0; i < FRAMES; i++) {
                        all.write(flood.bytes(StandInCaller.fields(2000), "select 1"));
                    }
                    flood.raw(all.toByteArray());
                    flood.socket.shutdownOutput();
                } catch (SocketException e) {
                    assertTrue(platform.program.isAlive(), "the front closed it amid the flood: " + e);
                }
                assertEquals(other.call(StandInCaller.fields(2000), "select 1").field(), SERVED);
            }
            Program.await("nothing stays open", () -> figure(platform, "edge_relay_open_requests") == 0);
            assertTrue(platform.wants() <= 10 * MOST_OPEN + 11, platform.wants() + " attempts");
            assertTrue(platform.program.memoryMb() <= MEMORY_MB, platform.program.memoryMb() + " MB");
            assertTrue(figure(platform, "edge_relay_unread_answer_bytes") == 0);
        }
    }

    /**
     * More connections than descriptors, first such as never speak, then such as rest, while the journal is
     * down: the list, the engines and new clients are reached all the same.
     */
    @Test
    public void idleClientsKeepNobodyOut() throws IOException {
        List<Socket> crowd = new ArrayList<>();
        try (Platform platform = new Platform(Map.of("JAVA_TOOL_OPTIONS", LIMITS), null, 2, 2, SOCKETS)) {
            platform.journal.broken = true;
            int most = platform.program.descriptors() + SOCKETS * MOST_PERCENT / 100;
            for (int i = 0; i < 2 * SOCKETS; i++) {
                crowd.add(new Socket(InetAddress.getLoopbackAddress(), platform.program.port()));
                int now = platform.program.descriptors();
                assertTrue(now <= most, now + " descriptors");
            }
            for (int i = 0; i < 2 * SOCKETS; i++) {
                StandInCaller resting = platform.caller();
                crowd.add(resting.socket);
                assertEquals(
                        resting.call(StandInCaller.fields(2000), "select 1").field(), SERVED);
                int now = platform.program.descriptors();
                assertTrue(now <= most, now + " descriptors");
            }
            platform.journal.tell(false, platform.engines(1, 1, "draining"));
            platform.journal.broken = false;
            platform.awaitTold();
            long before = platform.one.count("want");
            try (StandInCaller late = platform.caller()) {
                assertEquals(late.call(StandInCaller.fields(2000), "select 1").field(), SERVED);
            }
            assertEquals(platform.one.count("want"), before, "the drain was heard");
            assertTrue(platform.program.memoryMb() <= MEMORY_MB, platform.program.memoryMb() + " MB");
        } finally {
            for (Socket socket : crowd) {
                socket.close();
            }
        }
    }

    /** Answers that never end, on every connection, cost their own requests and nobody else's. */
    @Test
    public void answersThatNeverEndAreBounded() throws IOException {
        try (Platform platform = new Platform(Map.of("JAVA_TOOL_OPTIONS", LIMITS));
                StandInCaller caller = platform.caller()) {
            platform.one.mode = Mode.ENDLESS;
            for (int i = 0; i < 20; i++) {
                assertEquals(caller.call(StandInCaller.fields(2000), "select 1").field(), SERVED);
            }
            assertTrue(platform.program.memoryMb() <= MEMORY_MB, platform.program.memoryMb() + " MB");
        }
    }

    private static int figure(Platform platform, String name) {
        try {
            return FiguresTest.figures(platform.program).get(name);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
