package lineward.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** Opens the listening socket of a protocol server. May be called from any thread. */
public interface Listener {
    /**
     * Starts to accept connections.
     *
     * @param clients bootstrap that configures the accepted connections
     * @param loop event loop of the accepted connections
     */
    ChannelFuture bind(ServerBootstrap clients, EventLoopGroup loop);

    /** Stops accepting connections on the channel that {@link #bind} opened, which may stay open. */
    void stopAccepting(Channel listener);

    /** Returns a listener that opens its own socket at the given address. */
    static Listener at(InetSocketAddress address) {
        return new Listener() {
            @Override
            public ChannelFuture bind(ServerBootstrap clients, EventLoopGroup loop) {
                return clients.group(loop).channel(NioServerSocketChannel.class).bind(address);
            }

            @Override
            public void stopAccepting(Channel listener) {
                Channels.close(listener);
            }
        };
    }
}
