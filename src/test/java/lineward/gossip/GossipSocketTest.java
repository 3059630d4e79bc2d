package lineward.gossip;

import static org.testng.Assert.assertEquals;

import io.netty.channel.Channel;
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
import lineward.testing.Program;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the accepted senders and the maximum message size with real datagrams. */
public class GossipSocketTest {
    private final List<String> received = new CopyOnWriteArrayList<>();
    private EventLoopGroup loop;
    private DatagramSocket peer;
    private DatagramSocket nonPeer;
    private GossipSocket socket;
    private InetSocketAddress socketAddress;

    @BeforeMethod
    public void start() throws IOException {
        received.clear();
        loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        nonPeer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        InetSocketAddress peerAddress = (InetSocketAddress) peer.getLocalSocketAddress();
        socket = new GossipSocket(Map.of(peerAddress, 3), peerAddress, this::record);
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        socketAddress = (InetSocketAddress)
                socket.open(loop, anyPort).syncUninterruptibly().channel().localAddress();
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        peer.close();
        nonPeer.close();
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private void record(int senderNumber, byte[] message) {
        received.add(senderNumber + ":" + message.length + ":" + message[0]);
    }

    private void send(DatagramSocket from, int length, int firstByte) throws IOException {
        byte[] message = new byte[length];
        message[0] = (byte) firstByte;
        from.send(new DatagramPacket(message, length, socketAddress));
    }

    @Test
    public void onlyMessagesOfValidSizeFromPeersAreReceived() throws IOException {
        send(nonPeer, 4, 1);
        send(peer, GossipSocket.MAX_MESSAGE_BYTES + 1, 2);
        send(peer, 4000, 3);
        send(peer, GossipSocket.MAX_MESSAGE_BYTES, 4);
        send(peer, 1, 5);
        send(peer, 1, 5);
        Program.await("three messages", () -> received.size() >= 3);
        assertEquals(received, List.of("3:256:4", "3:1:5", "3:1:5"));
    }

    @Test
    public void aMessageThatIsTooLongIsNotSent() throws IOException {
        loop.execute(() -> {
            socket.broadcast(new byte[GossipSocket.MAX_MESSAGE_BYTES + 1]);
            socket.broadcast(new byte[GossipSocket.MAX_MESSAGE_BYTES]);
        });
        DatagramPacket packet = new DatagramPacket(new byte[1024], 1024);
        peer.setSoTimeout(10_000);
        peer.receive(packet);
        assertEquals(packet.getLength(), GossipSocket.MAX_MESSAGE_BYTES);
        assertEquals(packet.getSocketAddress(), socketAddress);
        byte[] message = Arrays.copyOf(packet.getData(), packet.getLength());
        assertEquals(message, new byte[GossipSocket.MAX_MESSAGE_BYTES]);
    }

    /** During a hot restart two processes of one front end are bound to the same address. */
    @Test
    public void aSecondSocketBindsToTheSameAddress() {
        GossipSocket second = new GossipSocket(Map.of(), socketAddress, (senderNumber, message) -> {});
        Channel channel = second.open(loop, socketAddress).syncUninterruptibly().channel();
        assertEquals(channel.localAddress(), socketAddress);
    }

    @Test
    public void anEmptyDatagramIsIgnored() throws IOException {
        peer.send(new DatagramPacket(new byte[0], 0, socketAddress));
        send(peer, 2, 9);
        Program.await("a message", () -> !received.isEmpty());
        assertEquals(received, List.of("3:2:9"));
    }
}
