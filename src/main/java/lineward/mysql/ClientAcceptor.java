package lineward.mysql;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import lineward.frontend.Listener;

/** Accepts the connections of clients and gives each a session and a number. */
final class ClientAcceptor {
    private final MysqlServer server;
    private final Listener listener;
    /** Null until it listens. */
    private Channel channel;

    private int lastClientNumber;

    ClientAcceptor(MysqlServer server, Listener listener) {
        this.server = server;
        this.listener = listener;
    }

    ChannelFuture listen(EventLoopGroup loop) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        lastClientNumber++;
                        ClientSession client = new ClientSession(server, lastClientNumber);
                        accepted.pipeline().addLast(new PacketDecoder(server.maxPacket()), client);
                    }
                });
        ChannelFuture binding = listener.bind(bootstrap, loop);
        channel = binding.channel();
        return binding;
    }

    /** Stops accepting; does nothing if it does not listen yet. */
    void stop() {
        if (channel != null) {
            listener.stopAccepting(channel);
        }
    }
}
