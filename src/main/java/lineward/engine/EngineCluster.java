package lineward.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import lineward.core.EngineEndpoint;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;

/** The engines that the list names and the connections to them. */
public final class EngineCluster {
    /** Own connections are closed at this part of the engines' idle time: theirs would race with a send. */
    private static final double IDLE_PART = 0.7;

    private static final class Member {
        final EnginePool pool;
        double startedAtMs;
        boolean gone;
        /** Not draining nor gone: what still waits for a connection may go out. */
        boolean takesNew = true;

        Member(EnginePool pool) {
            this.pool = pool;
        }
    }

    /**
     * @param connectTimeoutMs a connection that is not up by then is late
     * @param streams runs that one connection carries
     * @param links most connections to all engines
     * @param reports whether a probe asks for a report of the engine's load
     */
    public record Limits(int connectTimeoutMs, double idleMs, int streams, int links, boolean reports) {}

    /** Hears what a probe brought back. */
    @FunctionalInterface
    public interface HealthCheckListener {
        /** @param report the figures of the engine's load, empty where there are none */
        void answered(AttemptOutcome outcome, double[] report);
    }

    private final Map<String, Member> members = new HashMap<>();
    private final Bootstrap bootstrap;
    private final Limits limits;
    private final Runnable sent;

    /**
     * @param loop runs all connections
     * @param sent is called when a run has been written whole
     */
    public EngineCluster(EventLoopGroup loop, Limits limits, Runnable sent) {
        this.sent = sent;
        this.limits = limits;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, EnginePool.MAY_TAKE * limits.connectTimeoutMs());
    }

    /** Takes in the list of engines, or changes to it. */
    public void updateEndpoints(boolean whole, List<EngineEndpoint> entries) {
        if (whole) {
            members.values().forEach(m -> {
                m.gone = true;
                m.takesNew = false;
            });
        }
        for (EngineEndpoint e : entries) {
            InetSocketAddress address = parse(e.address());
            Member m = members.get(e.id());
            if (m == null || !m.pool.address().equals(address)) {
                if (m != null) {
                    m.pool.closeAll();
                }
                m = new Member(new EnginePool(bootstrap, address, limits, this::makeRoom, sent));
                members.put(e.id(), m);
            }
            m.gone = e.state() == EndpointState.GONE;
            m.takesNew = e.state() == EndpointState.READY;
            if (e.startedAtMs() != m.startedAtMs) {
                m.startedAtMs = e.startedAtMs();
                m.pool.startedAt(e.startedAtMs());
            }
        }
        // Danger: a connection may come up long after the word, when its address is another engine's.
        List.copyOf(members.values()).stream().filter(m -> !m.takesNew).forEach(m -> m.pool.recall());
        closeIdle();
    }

    /** Starts a run; its end is told by its listener, perhaps before this returns. */
    public void start(String engine, QueryAttempt run) {
        Member m = members.get(engine);
        if (m == null) {
            run.end(AttemptEnd.UNREACHED);
        } else {
            m.pool.start(run);
        }
    }

    /** Asks an engine how it is; one that says nothing, or can't be reached, has no answer. */
    public void checkHealth(String engine, HealthCheckListener heard) {
        Member m = members.get(engine);
        if (m != null) {
            m.pool.probe(
                    limits.reports() ? "busy" : "there",
                    reply -> heard.answered(
                            reply.word() == Reply.Word.SICK ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                            reply.figures("l")));
        }
    }

    /** Gives a run up; its listener hears nothing more. */
    public void cancel(String engine, QueryAttempt run) {
        Member m = members.get(engine);
        if (m != null) {
            m.pool.stop(run);
        }
    }

    /** Ends what still waits for a connection to that engine, as never run. */
    public void recallUnsent(String engine) {
        Member m = members.get(engine);
        if (m != null) {
            m.pool.recall();
        }
    }

    /** Tells the engine the run's new priority. */
    public void changePriority(String engine, QueryAttempt run, int priority) {
        run.priority = priority;
        Member m = members.get(engine);
        if (m != null) {
            m.pool.hurry(run);
        }
    }

    /** Closes connections long unused, and all unused ones of engines that are gone. */
    public void closeIdle() {
        long now = System.nanoTime();
        long before = now - TimeUnit.MICROSECONDS.toNanos(Math.round(limits.idleMs() * IDLE_PART * 1000));
        members.values().forEach(m -> m.pool.closeIdle(m.gone ? now : before));
        members.values().removeIf(m -> m.gone && m.pool.size() == 0);
    }

    /** Has every connection look whether it still works. */
    public void keepAlive() {
        members.values().forEach(m -> m.pool.beat());
    }

    /**
     * Danger: with more engines than connections allowed, those that rest would keep every other engine out
     * of reach until their idle time is up. The one that has rested longest makes room.
     *
     * @return whether one more connection may be opened
     */
    private boolean makeRoom() {
        if (members.values().stream().mapToInt(m -> m.pool.size()).sum() < limits.links()) {
            return true;
        }
        EngineConnection rested = members.values().stream()
                .map(m -> m.pool.longestIdle())
                .filter(Objects::nonNull)
                .min(Comparator.comparingLong(EngineConnection::usedAt))
                .orElse(null);
        if (rested != null) {
            rested.letGo();
        }
        return rested != null;
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
