package lineward.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** The listening socket of a protocol's clients. */
public interface Listener {
    /** Starts to accept; the connections are served on the loop. */
    ChannelFuture bind(ServerBootstrap clients, EventLoopGroup loop);

    /** Stops accepting connections on the channel that {@link #bind} made. */
    void stopAccepting(Channel listener);

    /** Returns a listener that opens a socket of its own at that address. */
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
