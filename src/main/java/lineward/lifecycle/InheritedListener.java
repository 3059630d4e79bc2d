package lineward.lifecycle;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import lineward.frontend.Listener;

/**
 * A listening socket that was inherited as descriptor 0 and is shared with other processes. Both may wake for
 * the same connection, and the flag that makes it non-blocking is shared as well: should another process
 * clear it, the accept that comes second blocks until the next connection. So a thread beside the event loop
 * accepts.
 */
public final class InheritedListener implements Listener {
    private final ServerSocketChannel socket;

    private InheritedListener(ServerSocketChannel socket) {
        this.socket = socket;
    }

    /**
     * Returns the listener on descriptor 0.
     *
     * @throws IllegalArgumentException if the descriptor named is not 0, or is no listening socket
     */
    public static InheritedListener fromDescriptor(String descriptor) {
        try {
            if (descriptor.equals("0") && System.inheritedChannel() instanceof ServerSocketChannel socket) {
                return new InheritedListener(socket);
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("descriptor 0 can't be used: " + e.getMessage(), e);
        }
        throw new IllegalArgumentException("descriptor " + descriptor + " is no listening socket");
    }

    @Override
    public ChannelFuture bind(ServerBootstrap clients, EventLoopGroup loop) {
        DefaultThreadFactory threads = new DefaultThreadFactory("accept", true);
        EventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory());
        // One accept for each wake-up: one that blocks must not hold an accepted connection back.
        ServerChannelRecvByteBufAllocator singleAccept = new ServerChannelRecvByteBufAllocator();
        singleAccept.maxMessagesPerRead(1);
        return clients.group(acceptor, loop)
                .channelFactory(() -> new NioServerSocketChannel(socket))
                .option(ChannelOption.RECVBUF_ALLOCATOR, singleAccept)
                .register();
    }

    /**
     * Stops reading only: a close would replace the log by the null device, and other processes hold the
     * socket.
     */
    @Override
    public void stopAccepting(Channel listener) {
        listener.config().setAutoRead(false);
    }
}
