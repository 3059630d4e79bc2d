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
 * A listening socket that was inherited as descriptor 0 and is shared with other processes. Accepts run on a
 * dedicated thread, because they may block: two processes may wake up for the same connection, and all
 * processes share the flag that makes the socket non-blocking. If another process clears the flag, the accept
 * that comes second blocks until the next connection arrives.
 */
public final class InheritedListener implements Listener {
    private final ServerSocketChannel socket;

    private InheritedListener(ServerSocketChannel socket) {
        this.socket = socket;
    }

    /**
     * Returns the listener on descriptor 0.
     *
     * @param descriptor number of the descriptor, as text; only 0 is supported
     * @throws IllegalArgumentException if the descriptor is not 0 or not a listening socket
     */
    public static InheritedListener fromDescriptor(String descriptor) {
        try {
            if (descriptor.equals("0") && System.inheritedChannel() instanceof ServerSocketChannel socket) {
                return new InheritedListener(socket);
            }
        } catch (IOException e) {
            throw new IllegalArgumentException("descriptor 0 can't be used: " + e.getMessage(), e);
        }
        throw new IllegalArgumentException("descriptor " + descriptor + " is not a listening socket");
    }

    @Override
    public ChannelFuture bind(ServerBootstrap clients, EventLoopGroup loop) {
        DefaultThreadFactory threads = new DefaultThreadFactory("accept", true);
        EventLoopGroup acceptor = new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory());
        EventLoopMonitor.watch(acceptor, Runtime.getRuntime()::halt);
        // One accept per wake-up: a second one may block and delay the connection that was accepted first.
        ServerChannelRecvByteBufAllocator singleAccept = new ServerChannelRecvByteBufAllocator();
        singleAccept.maxMessagesPerRead(1);
        return clients.group(acceptor, loop)
                .channelFactory(() -> new NioServerSocketChannel(socket))
                .option(ChannelOption.RECVBUF_ALLOCATOR, singleAccept)
                .register();
    }

    /**
     * Stops accepting without closing the socket. Other processes share it, and closing an inherited channel
     * makes the Java runtime redirect the standard streams, and so the log, to the null device.
     */
    @Override
    public void stopAccepting(Channel listener) {
        listener.config().setAutoRead(false);
    }
}
