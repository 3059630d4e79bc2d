package lineward.front;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** The socket at which a front's clients come in. */
public interface Doorway {
    /** Starts to accept; the connections are served on the loop. */
    ChannelFuture open(ServerBootstrap clients, EventLoopGroup loop);

    /** Accepts no connection any more. */
    void shut(Channel listener);

    /** @return a socket of this process's own, bound to that address when it opens */
    static Doorway at(InetSocketAddress address) {
        return new Doorway() {
            @Override
            public ChannelFuture open(ServerBootstrap clients, EventLoopGroup loop) {
                return clients.group(loop).channel(NioServerSocketChannel.class).bind(address);
            }

            @Override
            public void shut(Channel listener) {
                listener.close();
            }
        };
    }
}
