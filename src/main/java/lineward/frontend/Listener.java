package lineward.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** The socket at which a front's clients come in. */
public interface Listener {
    /** Starts to accept; the connections are served on the loop. */
    ChannelFuture bind(ServerBootstrap clients, EventLoopGroup loop);

    /** Accepts no connection any more. */
    void stopAccepting(Channel listener);

    /** Returns a socket of this process's own, bound to that address when it opens. */
    static Listener at(InetSocketAddress address) {
        return new Listener() {
            @Override
            public ChannelFuture bind(ServerBootstrap clients, EventLoopGroup loop) {
                return clients.group(loop).channel(NioServerSocketChannel.class).bind(address);
            }

            @Override
            public void stopAccepting(Channel listener) {
                listener.close();
            }
        };
    }
}
