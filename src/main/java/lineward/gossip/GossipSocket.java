package lineward.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.Map;

/** The socket by which a front end and the others of its tier talk. */
public final class GossipSocket extends SimpleChannelInboundHandler<DatagramPacket> {
    /** Hears what the others say. */
    @FunctionalInterface
    public interface Listener {
        /** @param from the sender's number in the tier */
        void received(int from, byte[] octets);
    }

    /** A longer datagram is no word of this protocol. */
    public static final int MAX_PAYLOAD = 256;
    /** Words heard in a turn of the loop: a neighbour that floods must not take the clients' time. */
    private static final int MOST_A_TURN = 64;

    private final Map<InetSocketAddress, Integer> numbers;
    private final InetSocketAddress all;
    private final Listener listener;
    private Channel channel;

    /**
     * @param numbers of the others in the tier, by the address from which they send; nobody else is heard
     * @param all where a word for all of them goes
     */
    public GossipSocket(Map<InetSocketAddress, Integer> numbers, InetSocketAddress all, Listener listener) {
        this.numbers = Map.copyOf(numbers);
        this.all = all;
        this.listener = listener;
    }

    /** Opens the socket at that address; at an upgrade the process that came last hears there. */
    public ChannelFuture open(EventLoopGroup loop, InetSocketAddress at) {
        // One byte more than a word may have tells those that are too long.
        ChannelFuture opening = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new FixedRecvByteBufAllocator(MAX_PAYLOAD + 1).maxMessagesPerRead(MOST_A_TURN))
                .handler(this)
                .bind(at);
        channel = opening.channel();
        return opening;
    }

    /** Sends a word to all others; one that is too long, or finds the socket full, is lost. */
    public void broadcast(byte[] octets) {
        if (octets.length <= MAX_PAYLOAD && channel != null && channel.isWritable()) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(octets), all));
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        Integer from = numbers.get(packet.sender());
        if (from != null && packet.content().isReadable() && packet.content().readableBytes() <= MAX_PAYLOAD) {
            listener.received(from, ByteBufUtil.getBytes(packet.content()));
        }
    }

    /** A neighbour that is down answers with an error now and then; the next word may find it up. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
}
