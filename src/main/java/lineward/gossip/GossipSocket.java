package lineward.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.Map;

/**
 * The UDP socket through which the front ends of a tier exchange gossip. Used on the event loop, except
 * {@link #open}, which may be called from any thread.
 */
public final class GossipSocket extends SimpleChannelInboundHandler<DatagramPacket> {
    /** Receives the messages from the other front ends, on the event loop. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called for each message received.
         *
         * @param senderNumber number of the sender within the tier
         * @param message 1 to {@link #MAX_MESSAGE_BYTES} bytes, possibly corrupt
         */
        void received(int senderNumber, byte[] message);
    }

    /** Maximum size of a message; longer datagrams are ignored. */
    public static final int MAX_MESSAGE_BYTES = 256;
    /** Maximum per iteration of the event loop, so that a flood of datagrams does not delay requests. */
    private static final int MAX_DATAGRAMS_PER_READ = 64;
    /** One byte more than the maximum size, so that oversized datagrams can be detected. */
    private static final int RECEIVE_BUFFER_BYTES = MAX_MESSAGE_BYTES + 1;

    private final Map<InetSocketAddress, Integer> peerNumbers;
    private final InetSocketAddress groupAddress;
    private final Listener listener;
    private Channel channel;

    /**
     * Creates a socket that is not open.
     *
     * @param peerNumbers numbers of the other front ends, by the address from which they send; datagrams from
     *     other addresses are ignored
     * @param groupAddress address to which messages are broadcast
     */
    public GossipSocket(
            Map<InetSocketAddress, Integer> peerNumbers, InetSocketAddress groupAddress, Listener listener) {
        this.peerNumbers = Map.copyOf(peerNumbers);
        this.groupAddress = groupAddress;
        this.listener = listener;
    }

    /**
     * Binds the socket to the address. During a hot restart two processes are bound to it, and the one that
     * bound it later receives the datagrams.
     */
    public ChannelFuture open(EventLoopGroup loop, InetSocketAddress address) {
        FixedRecvByteBufAllocator allocator = new FixedRecvByteBufAllocator(RECEIVE_BUFFER_BYTES);
        allocator.maxMessagesPerRead(MAX_DATAGRAMS_PER_READ);
        ChannelFuture opening = new Bootstrap()
                .group(loop)
                .channel(NioDatagramChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.RECVBUF_ALLOCATOR, allocator)
                .handler(this)
                .bind(address);
        channel = opening.channel();
        return opening;
    }

    /**
     * Sends a message to all other front ends. The message is dropped if it is too long, the socket is not
     * open, or its send buffer is full.
     */
    public void broadcast(byte[] message) {
        if (message.length <= MAX_MESSAGE_BYTES && channel != null && channel.isWritable()) {
            DatagramPacket packet = new DatagramPacket(Unpooled.wrappedBuffer(message), groupAddress);
            channel.writeAndFlush(packet).addListener(ChannelFutureListener.FIRE_EXCEPTION_ON_FAILURE);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
        Integer senderNumber = peerNumbers.get(packet.sender());
        if (senderNumber != null && hasValidSize(packet.content())) {
            listener.received(senderNumber, ByteBufUtil.getBytes(packet.content()));
        }
    }

    private static boolean hasValidSize(ByteBuf content) {
        return content.isReadable() && content.readableBytes() <= MAX_MESSAGE_BYTES;
    }

    /** Ignores errors: sending fails while a peer is down, but later messages may reach it again. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {}
}
