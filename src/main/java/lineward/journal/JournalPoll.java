package lineward.journal;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the journal: one long poll after the other on one connection, anew after each failure. */
public final class JournalPoll {
    private static final Logger LOG = LoggerFactory.getLogger(JournalPoll.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Longest wait of a poll. What the journal holds counts as told at once: a dead wire must show soon. */
    private static final int MAX_WAIT_MS = 1000;
    /** Silence past the longest wait by which a connection counts as dead. */
    private static final int SILENCE_MS = MAX_WAIT_MS + 700;
    private static final int CONNECT_MS = 500;
    private static final int RETRY_MS = 100;
    private static final int LARGEST_ANSWER = 4 << 20;

    private final EventLoop loop;
    private final EngineList list;
    private String host;
    /** The connection that counts; what an earlier one says or how it ends is passed over. */
    private Channel channel;
    private Future<?> retry;
    private boolean troubled;

    /**
     * @param loop on which everything here runs
     * @param address of the journal service
     */
    public JournalPoll(EventLoop loop, String address, EngineList list) {
        this.loop = loop;
        this.host = address;
        this.list = list;
    }

    /** Polls another address from now on; the events' numbers carry on there. */
    public void moveTo(String address) {
        if (!address.equals(host)) {
            host = address;
            Channel old = channel;
            if (retry != null) {
                retry.cancel(false);
            }
            start();
            old.close();
        }
    }

    /** Connects and polls from then on. */
    public void start() {
        int colon = host.lastIndexOf(':');
        InetSocketAddress address = new InetSocketAddress(host.substring(0, colon),
                Integer.parseInt(host.substring(colon + 1)));
        ChannelFuture connecting = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new ReadTimeoutHandler(SILENCE_MS, TimeUnit.MILLISECONDS),
                                new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER),
                                new Poller());
                    }
                }).connect(address);
        channel = connecting.channel();
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                tell(done.cause().toString());
                again(connecting.channel());
            }
        });
    }

    private void again(Channel ended) {
        if (ended == channel) {
            retry = loop.schedule(this::start, RETRY_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** One line for a row of failures: a service that is away is tried ten times a second. */
    private void tell(String trouble) {
        if (!troubled) {
            troubled = true;
            LOG.warn("journal at {}: {}", host, trouble);
        }
    }

    private final class Poller extends SimpleChannelInboundHandler<FullHttpResponse> {
        private long askedAt;

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            ask(ctx);
        }

        private void ask(ChannelHandlerContext ctx) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
                    "/journal?tail=" + list.position() + "&max_wait=" + MAX_WAIT_MS);
            request.headers().set(HttpHeaderNames.HOST, host);
            askedAt = System.nanoTime();
            ctx.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) throws IOException {
            if (ctx.channel() != channel) {
                return;
            }
            if (!answer.status().equals(HttpResponseStatus.OK)) {
                tell("answers " + answer.status());
                ctx.close();
                return;
            }
            long before = list.position();
            try (InputStream in = new ByteBufInputStream(answer.content())) {
                list.take(JSON.readTree(in));
            }
            troubled = false;
            // Danger: a service that answers at once with nothing new would have us ask without a pause.
            boolean hasty = list.position() == before
                    && System.nanoTime() - askedAt < TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MS / 2);
            if (!HttpUtil.isKeepAlive(answer)) {
                ctx.close();
            } else if (hasty) {
                ctx.executor().schedule(() -> ask(ctx), RETRY_MS, TimeUnit.MILLISECONDS);
            } else {
                ask(ctx);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            tell(cause.toString());
            ctx.close();
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            again(ctx.channel());
        }
    }
}
