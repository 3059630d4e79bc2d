package lineward.gossip;

import static org.testng.Assert.assertEquals;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import lineward.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Words between front ends over real datagrams: who is heard, and how long a word may be. */
public class PeerSocketTest {
    private final List<String> heard = new CopyOnWriteArrayList<>();
    private EventLoopGroup loop;
    private DatagramSocket peer;
    private DatagramSocket stranger;
    private GossipSocket socket;
    private InetSocketAddress here;

    @BeforeMethod
    public void start() throws IOException {
        heard.clear();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        InetSocketAddress other = new InetSocketAddress(peer.getLocalAddress(), peer.getLocalPort());
        socket = new GossipSocket(
                Map.of(other, 3), other, (from, octets) -> heard.add(from + ":" + octets.length + ":" + octets[0]));
        InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        here = (InetSocketAddress)
                socket.open(loop, any).syncUninterruptibly().channel().localAddress();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        peer.close();
        stranger.close();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private void say(DatagramSocket from, int length, int first) throws IOException {
        byte[] octets = new byte[length];
        octets[0] = (byte) first;
        from.send(new DatagramPacket(octets, length, here));
    }

    @Test
    public void onlyPeersAreHeardAndOnlyWordsThatAreShortEnough() throws IOException {
        say(stranger, 4, 1);
        say(peer, GossipSocket.MAX_PAYLOAD + 1, 2);
        say(peer, 4000, 3);
        say(peer, GossipSocket.MAX_PAYLOAD, 4);
        say(peer, 1, 5);
        say(peer, 1, 5);
        Program.await("three words", () -> heard.size() >= 3);
        assertEquals(heard, List.of("3:256:4", "3:1:5", "3:1:5"));
    }

    @Test
    public void aWordThatIsTooLongNeverGoesOut() throws IOException {
        loop.execute(() -> {
            socket.broadcast(new byte[GossipSocket.MAX_PAYLOAD + 1]);
            socket.broadcast(new byte[GossipSocket.MAX_PAYLOAD]);
        });
        DatagramPacket got = new DatagramPacket(new byte[1024], 1024);
        peer.setSoTimeout(10_000);
        peer.receive(got);
        assertEquals(got.getLength(), GossipSocket.MAX_PAYLOAD);
        assertEquals(got.getSocketAddress(), here);
        assertEquals(Arrays.copyOf(got.getData(), got.getLength()).length, GossipSocket.MAX_PAYLOAD);
    }

    /** Two processes of one front end at an upgrade: both have the address. */
    @Test
    public void aSecondProcessOpensTheSameAddress() {
        GossipSocket second = new GossipSocket(Map.of(), here, (from, octets) -> {});
        assertEquals(second.open(loop, here).syncUninterruptibly().channel().localAddress(), here);
    }

    /** An empty datagram holds no word. */
    @Test
    public void anEmptyDatagramIsPassedOver() throws IOException {
        peer.send(new DatagramPacket(new byte[0], 0, here));
        say(peer, 2, 9);
        Program.await("a word", () -> !heard.isEmpty());
        assertEquals(heard, List.of("3:2:9"));
    }
}
