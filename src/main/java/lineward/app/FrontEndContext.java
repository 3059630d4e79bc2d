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
 * The objects that the subsystems of a front end share: event loop, ticker, clock, metrics, and lists to
 * which each subsystem adds its servers, start actions and resources. The main thread fills the lists before
 * the front end runs.
 */
final class FrontEndContext {
    /**
     * Maximum number of open requests of one protocol server, each of which takes a slot in a table. Further
     * requests could not be answered in time and are rejected.
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

    /** Returns the protocol servers in the order of their start. */
    List<ProtocolServer> protocolServers() {
        return protocolServers;
    }

    /** Returns the start actions, which run on the main thread before the protocol servers listen. */
    List<Runnable> startActions() {
        return startActions;
    }

    /** Returns the resources that are closed at shutdown, in order, after the last response. */
    List<AutoCloseable> closeables() {
        return closeables;
    }

    /** Runs a task on the event loop and blocks until it has completed; throws what the task throws. */
    void runOnEventLoop(Runnable task) {
        eventLoop.submit(task).syncUninterruptibly();
    }

    /**
     * Blocks until a listener is bound and returns its address; throws a {@link ConfigException} on failure.
     */
    static SocketAddress awaitBound(ChannelFuture binding) {
        binding.awaitUninterruptibly();
        if (!binding.isSuccess()) {
            Throwable cause = binding.cause();
            throw ConfigException.unusable("can't listen: " + cause.getMessage(), cause);
        }
        return binding.channel().localAddress();
    }
}
