package lineward.mysql.client;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import lineward.frontend.ClientReadBuffers;
import lineward.frontend.Listener;
import lineward.mysql.wire.PacketDecoder;

/** Accepts client connections and gives each one a session and a number. */
public final class ClientAcceptor {
    private final ClientContext context;
    private final Listener listener;
    /** Null before {@link #listen}. */
    private Channel channel;

    private int lastClientNumber;

    /** Creates an acceptor that does not listen yet. */
    public ClientAcceptor(ClientContext context, Listener listener) {
        this.context = context;
        this.listener = listener;
    }

    /** Binds the listener; the returned future completes when it is bound. */
    public ChannelFuture listen(EventLoopGroup loop) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ClientReadBuffers.allocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        lastClientNumber++;
                        PacketDecoder decoder = new PacketDecoder(context.maxPayloadBytes());
                        ClientSession client = new ClientSession(context, lastClientNumber, decoder);
                        accepted.pipeline().addLast(decoder, client);
                    }
                });
        ChannelFuture bindFuture = listener.bind(bootstrap, loop);
        channel = bindFuture.channel();
        return bindFuture;
    }

    /** Stops accepting connections; has no effect before {@link #listen}. */
    public void stop() {
        if (channel != null) {
            listener.stopAccepting(channel);
        }
    }
}
