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
import lineward.frontend.ClientRegistry;

/** The second address, where operators call: HTTP/1.1, one call for each connection. */
public final class AdminServer {
    /** Callers at once; the one that has been silent longest makes room. */
    private static final int MOST_CALLERS = 32;
    /** A call is due whole within this, and its answer taken. */
    private static final long PATIENCE = TimeUnit.MILLISECONDS.toNanos(900);

    private static final int LONGEST_LINE = 1024;
    private static final int LARGEST_HEADER = 4096;

    private final AdminOperations operations;
    private final ClientRegistry<Channel> callers =
            new ClientRegistry<>(MOST_CALLERS, System::nanoTime, Channel::close, Channel::close);

    /** @param operations carries out what is asked */
    public AdminServer(AdminOperations operations) {
        this.operations = operations;
    }

    /** Starts to listen. */
    public ChannelFuture listen(EventLoopGroup loop, InetSocketAddress address) {
        HttpDecoderConfig bounds =
                new HttpDecoderConfig().setMaxInitialLineLength(LONGEST_LINE).setMaxHeaderSize(LARGEST_HEADER);
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(bounds),
                                        new AdminRequestAggregator(),
                                        new AdminHandler(operations, callers));
                    }
                })
                .bind(address);
    }

    /** Closes the connections of callers that have not asked, or not left, in time. */
    public void closeSilent() {
        callers.closeSilent(PATIENCE);
    }
}
