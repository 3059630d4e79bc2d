package lineward.operations;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import lineward.frontend.Channels;
import lineward.frontend.ClientRegistry;

/**
 * The admin endpoint: HTTP/1.1 with one request per connection. Connections run on the event loop that is
 * passed to {@link #listen}.
 */
public final class AdminServer {
    /** Maximum number of connections; a further one closes the connection that has been open longest. */
    private static final int MAX_CLIENTS = 32;
    /** Time from the connect in which a client must send its request and read the response. */
    private static final long REQUEST_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(900);

    private static final int MAX_REQUEST_LINE_BYTES = 1024;
    private static final int MAX_HEADERS_BYTES = 4096;

    private final AdminOperations operations;
    private final ClientRegistry<Channel> clients =
            new ClientRegistry<>(MAX_CLIENTS, System::nanoTime, Channels::close, Channels::close);

    /**
     * Creates a server that does not listen yet.
     *
     * @param operations carries out the requests
     */
    public AdminServer(AdminOperations operations) {
        this.operations = operations;
    }

    /** Starts to listen; may be called on any thread. */
    public ChannelFuture listen(EventLoopGroup loop, InetSocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initialize(channel);
                    }
                })
                .bind(address);
    }

    private void initialize(Channel channel) {
        HttpDecoderConfig bounds = new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setMaxHeaderSize(MAX_HEADERS_BYTES);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(bounds),
                        new AdminRequestAggregator(),
                        new AdminHandler(operations, clients));
    }

    /** Closes connections that have exceeded the request timeout; called on the event loop. */
    public void closeUnresponsive() {
        clients.closeSilent(REQUEST_TIMEOUT_NANOS);
    }
}
