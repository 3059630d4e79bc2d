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
 * A listening socket that came as descriptor 0 and is shared with other processes. Both may wake for the same
 * connection, and the flag that keeps an accept from waiting is shared as well: should somebody clear it, the
 * accept of who comes second waits for the next connection. So a thread beside the event loop accepts.
 */
public final class InheritedListener implements Listener {
    private final ServerSocketChannel socket;

    private InheritedListener(ServerSocketChannel socket) {
        this.socket = socket;
    }

    /**
     * Takes descriptor 0.
     *
     * @throws IllegalArgumentException if the descriptor named is not 0, or no socket that listens
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
        EventLoopGroup acceptor =
                new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("accept", true), NioIoHandler.newFactory());
        // One a turn: an accept that waits must not have a connection in hand that nobody serves yet.
        return clients.group(acceptor, loop)
                .channelFactory(() -> new NioServerSocketChannel(socket))
                .option(ChannelOption.RECVBUF_ALLOCATOR, new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(1))
                .register();
    }

    /** A close would put the null device over the log, and end nothing: others hold the socket too. */
    @Override
    public void stopAccepting(Channel listener) {
        listener.config().setAutoRead(false);
    }
}
