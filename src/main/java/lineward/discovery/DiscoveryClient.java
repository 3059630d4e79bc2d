package lineward.discovery;

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
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the journal by long polls over HTTP/1.1, as {@link PollPolicy} says. All of it runs on the event
 * loop; only the file is read beside it, by one thread that lives while it has something to do.
 */
public final class DiscoveryClient {
    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int CONNECT_MS = 500;
    private static final int LARGEST_ANSWER = 4 << 20;
    private static final int READER_LIVES_S = 5;

    private final EventLoop loop;
    private final EndpointList list;
    private final Supplier<String> file;
    private final DoubleSupplier clock;
    private final PollPolicy policy;
    private final Map<Integer, Channel> calls = new HashMap<>();
    private final ThreadPoolExecutor reader =
            new ThreadPoolExecutor(1, 1, READER_LIVES_S, TimeUnit.SECONDS, new LinkedBlockingQueue<>(), task -> {
                Thread thread = new Thread(task, "configuration");
                thread.setDaemon(true);
                return thread;
            });
    private String unreadable;

    /**
     * @param loop on which everything here runs
     * @param address of the journal service
     * @param file reads the address that the configuration now names; throws a runtime exception with one
     *     plain line if the file can't be used; called on a thread of its own
     * @param clock in milliseconds, never going back
     */
    public DiscoveryClient(
            EventLoop loop, String address, EndpointList list, Supplier<String> file, DoubleSupplier clock) {
        this.loop = loop;
        this.list = list;
        this.file = file;
        this.clock = clock;
        this.policy = new PollPolicy(address, clock.getAsDouble());
        reader.allowCoreThreadTimeOut(true);
    }

    /** Connects, asks and gives up what is due; comes every few milliseconds. */
    public void tick() {
        perform(policy.tick(clock.getAsDouble()));
    }

    /** SIGHUP: reads the file anew, again until it can be read, and polls the address that stands there. */
    public void reloadAddress() {
        policy.reloadAddress(clock.getAsDouble());
        tick();
    }

    /** Returns milliseconds since the journal's last usable answer, or since the start if none has come. */
    public long ageMs() {
        return Math.round(policy.age(clock.getAsDouble()));
    }

    private void perform(List<PollPolicy.Step> steps) {
        for (PollPolicy.Step step : steps) {
            if (step instanceof PollPolicy.Connect s) {
                connect(s.call(), s.address());
            } else if (step instanceof PollPolicy.Ask s) {
                ask(s.call());
            } else if (step instanceof PollPolicy.Drop s) {
                drop(s.call());
            } else if (step instanceof PollPolicy.Look) {
                reader.execute(this::look);
            } else if (step instanceof PollPolicy.Complain s) {
                LOG.warn(
                        "journal at {}: nothing heard for {} ms ({})",
                        s.address(),
                        Math.round(s.silentMs()),
                        s.trouble());
            }
        }
    }

    private void look() {
        String named;
        try {
            named = file.get();
        } catch (RuntimeException e) {
            String why = String.valueOf(e.getMessage());
            loop.execute(() -> {
                if (!why.equals(unreadable)) {
                    unreadable = why;
                    LOG.warn("the configuration stays as it was: {}", why);
                }
                policy.fileUnreadable(clock.getAsDouble());
            });
            return;
        }
        loop.execute(() -> {
            unreadable = null;
            if (!named.equals(policy.address())) {
                LOG.info("the journal is at {}", named);
            }
            perform(policy.fileRead(named, clock.getAsDouble()));
        });
    }

    private void connect(int call, String address) {
        int colon = address.lastIndexOf(':');
        Poller poller = new Poller(call, address);
        ChannelFuture connecting = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        ch.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST_ANSWER), poller);
                    }
                })
                .connect(new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
        calls.put(call, connecting.channel());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                ended(call, done.cause().toString());
            }
        });
    }

    private void ask(int call) {
        Channel channel = calls.get(call);
        if (channel != null) {
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.GET,
                    "/journal?tail=" + list.position() + "&max_wait=" + PollPolicy.MAX_WAIT_MS);
            request.headers().set(HttpHeaderNames.HOST, channel.pipeline().get(Poller.class).address);
            channel.writeAndFlush(request);
        }
    }

    private void drop(int call) {
        Channel channel = calls.remove(call);
        if (channel != null) {
            channel.close();
        }
    }

    private void ended(int call, String why) {
        calls.remove(call);
        policy.ended(call, why, clock.getAsDouble());
    }

    private final class Poller extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int call;
        private final String address;

        Poller(int call, String address) {
            this.call = call;
            this.address = address;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            perform(policy.connected(call, clock.getAsDouble()));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) throws IOException {
            if (!policy.counts(call)) {
                return;
            }
            if (!answer.status().equals(HttpResponseStatus.OK)) {
                giveUp(ctx, "answers " + answer.status());
                return;
            }
            long before = list.position();
            try (InputStream in = new ByteBufInputStream(answer.content())) {
                list.apply(JSON.readTree(in));
            }
            List<PollPolicy.Step> steps = policy.answered(call, list.position() != before, clock.getAsDouble());
            if (HttpUtil.isKeepAlive(answer)) {
                perform(steps);
            } else {
                steps.removeIf(s -> s instanceof PollPolicy.Ask);
                perform(steps);
                drop(call);
                policy.finished(call, clock.getAsDouble());
            }
        }

        private void giveUp(ChannelHandlerContext ctx, String why) {
            ended(call, why);
            ctx.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            giveUp(ctx, cause.toString());
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            ended(call, "connection closed");
        }
    }
}
