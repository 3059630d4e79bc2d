package lineward.app;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import lineward.core.MonotonicClock;
import lineward.frontend.ProtocolServer;
import lineward.lifecycle.Ticker;
import lineward.operations.Metrics;

/**
 * What the subsystems of one front end share: the event loop with its ticker, the clock, the metrics, and
 * what each of them adds for the start and the end. Filled on the main thread, before the front end runs.
 */
final class FrontEndContext {
    /**
     * The open requests of one protocol server at most. Each has a slot in a table; beyond it requests are
     * rejected, as they could not be answered in time.
     */
    static final int MAX_OPEN_REQUESTS = 8192;

    private final Map<String, String> environment = System.getenv();
    private final EventLoopGroup eventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
    private final EventLoop eventLoop = eventLoopGroup.next();
    private final Ticker ticker = new Ticker(eventLoop);
    private final MonotonicClock clock = new MonotonicClock();
    private final Metrics metrics = new Metrics();
    private final List<ProtocolServer> protocolServers = new ArrayList<>();
    private final List<Runnable> startActions = new ArrayList<>();
    private final List<AutoCloseable> closeables = new ArrayList<>();

    /** Returns the environment variables of the process. */
    Map<String, String> environment() {
        return environment;
    }

    EventLoopGroup eventLoopGroup() {
        return eventLoopGroup;
    }

    EventLoop eventLoop() {
        return eventLoop;
    }

    Ticker ticker() {
        return ticker;
    }

    MonotonicClock clock() {
        return clock;
    }

    Metrics metrics() {
        return metrics;
    }

    /** Returns the protocol servers, in the order in which they start to listen. */
    List<ProtocolServer> protocolServers() {
        return protocolServers;
    }

    /** Returns what runs on the main thread, in order, before the protocol servers listen. */
    List<Runnable> startActions() {
        return startActions;
    }

    /** Returns what is closed, in order, once all requests have been answered. */
    List<AutoCloseable> closeables() {
        return closeables;
    }

    /** Runs the task on the event loop and waits for its end; throws what the task throws. */
    void runOnEventLoop(Runnable task) {
        eventLoop.submit(task).syncUninterruptibly();
    }

    /** Waits for a listener and returns its address; throws a {@link ConfigException} if binding fails. */
    static SocketAddress awaitBound(ChannelFuture binding) {
        binding.awaitUninterruptibly();
        if (!binding.isSuccess()) {
            Throwable cause = binding.cause();
            throw ConfigException.unusable("can't listen: " + cause.getMessage(), cause);
        }
        return binding.channel().localAddress();
    }
}
