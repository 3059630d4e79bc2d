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
import java.util.function.BooleanSupplier;
import lineward.core.EngineEndpoint;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;

/** The engines on the endpoint list, each with the pool of connections to it. */
public final class EngineCluster {
    /**
     * Idle connections are closed at this ratio of the engines' idle timeout: closed by the engine, one
     * could break under a request that is being sent.
     */
    private static final double IDLE_TIMEOUT_RATIO = 0.7;

    private static final class Member {
        final EnginePool pool;
        double startedAtMs;
        EndpointState state = EndpointState.READY;

        Member(EnginePool pool) {
            this.pool = pool;
        }

        boolean isGone() {
            return state == EndpointState.GONE;
        }

        boolean isReady() {
            return state == EndpointState.READY;
        }
    }

    /**
     * Bounds of the connections to engines.
     *
     * @param connectTimeoutMs a connection that is not up by then is overdue
     * @param engineIdleTimeoutMs after which engines close idle connections
     * @param maxAttemptsPerConnection most attempts in flight on one connection
     * @param maxConnections most connections to all engines
     * @param loadReports whether a health check asks for a report of the engine's load
     */
    public record Limits(
            int connectTimeoutMs,
            double engineIdleTimeoutMs,
            int maxAttemptsPerConnection,
            int maxConnections,
            boolean loadReports) {}

    /** Is notified of the answer to a health check. */
    @FunctionalInterface
    public interface HealthCheckListener {
        /**
         * The engine answered.
         *
         * @param loadReport the figures of the engine's load, empty where there are none
         */
        void answered(AttemptOutcome outcome, double[] loadReport);
    }

    private final Map<String, Member> members = new HashMap<>();
    private final Bootstrap bootstrap;
    private final Limits limits;
    private final Runnable onRequestSent;

    /**
     * Creates a cluster without engines.
     *
     * @param loop runs all connections
     * @param onRequestSent is called when a request has been sent to its last byte
     */
    public EngineCluster(EventLoopGroup loop, Limits limits, Runnable onRequestSent) {
        this.onRequestSent = onRequestSent;
        this.limits = limits;
        int abandonAfterMs = EnginePool.CONNECT_ABANDON_FACTOR * limits.connectTimeoutMs();
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, abandonAfterMs);
    }

    /**
     * Applies an update of the endpoint list.
     *
     * @param fullSnapshot whether engines that are not among the endpoints are gone
     */
    public void updateEndpoints(boolean fullSnapshot, List<EngineEndpoint> endpoints) {
        if (fullSnapshot) {
            members.values().forEach(member -> member.state = EndpointState.GONE);
        }
        endpoints.forEach(this::updateEndpoint);
        // A connection may come up long after this update, when its address is another engine's.
        List.copyOf(members.values()).stream()
                .filter(member -> !member.isReady())
                .forEach(member -> member.pool.cancelWaiting());
        closeIdle();
    }

    private void updateEndpoint(EngineEndpoint endpoint) {
        Member member = memberAt(endpoint.id(), parse(endpoint.address()));
        member.state = endpoint.state();
        if (endpoint.startedAtMs() != member.startedAtMs) {
            member.startedAtMs = endpoint.startedAtMs();
            member.pool.engineStarted(endpoint.startedAtMs());
        }
    }

    /** Returns the engine of that id; where it had another address it gets a new pool. */
    private Member memberAt(String engine, InetSocketAddress address) {
        Member member = members.get(engine);
        if (member != null && member.pool.address().equals(address)) {
            return member;
        }
        if (member != null) {
            member.pool.closeAll();
        }
        BooleanSupplier connectionQuota = this::acquireConnectionQuota;
        Member added = new Member(new EnginePool(bootstrap, address, limits, connectionQuota, onRequestSent));
        members.put(engine, added);
        return added;
    }

    /** Starts an attempt; its listener is notified of the end, perhaps before this returns. */
    public void start(String engine, QueryAttempt attempt) {
        Member member = members.get(engine);
        if (member == null) {
            attempt.end(AttemptEnd.ENGINE_UNREACHABLE);
        } else {
            member.pool.start(attempt);
        }
    }

    /** Checks an engine's health; the listener is not notified where the engine is silent or out of reach. */
    public void checkHealth(String engine, HealthCheckListener listener) {
        Member member = members.get(engine);
        if (member != null) {
            boolean withReport = limits.loadReports();
            HealthCheck.Kind kind = withReport ? HealthCheck.Kind.LOAD_REPORT : HealthCheck.Kind.PING;
            member.pool.checkHealth(kind, answer -> notifyAnswered(listener, answer));
        }
    }

    private static void notifyAnswered(HealthCheckListener listener, Reply answer) {
        boolean isHealthy = answer.type() != ReplyType.UNHEALTHY;
        AttemptOutcome outcome = isHealthy ? AttemptOutcome.OK : AttemptOutcome.ERROR;
        listener.answered(outcome, answer.numbers(LineProtocol.LOAD_FIELD));
    }

    /** Cancels an attempt; its listener is not notified any more. */
    public void cancel(String engine, QueryAttempt attempt) {
        Member member = members.get(engine);
        if (member != null) {
            member.pool.cancel(attempt);
        }
    }

    /** Ends the attempts that wait for a connection to that engine, as not sent. */
    public void cancelWaiting(String engine) {
        Member member = members.get(engine);
        if (member != null) {
            member.pool.cancelWaiting();
        }
    }

    /** Changes an attempt's priority, also at the engine. */
    public void changePriority(String engine, QueryAttempt attempt, int priority) {
        attempt.priority = priority;
        Member member = members.get(engine);
        if (member != null) {
            member.pool.sendPriority(attempt);
        }
    }

    /** Closes connections that have been idle for long, and all idle ones of engines that are gone. */
    public void closeIdle() {
        long now = System.nanoTime();
        double idleMs = limits.engineIdleTimeoutMs() * IDLE_TIMEOUT_RATIO;
        long usedBefore = now - TimeUnit.MICROSECONDS.toNanos(Math.round(idleMs * 1000));
        members.values().forEach(member -> member.pool.closeIdle(member.isGone() ? now : usedBefore));
        members.values().removeIf(member -> member.isGone() && member.pool.size() == 0);
    }

    /** Called ten times a second: sends and checks heartbeats on all connections. */
    public void keepAlive() {
        members.values().forEach(member -> member.pool.keepAlive());
    }

    /**
     * Returns whether one more connection may be opened. With more engines than connections allowed, idle
     * ones would keep every other engine out of reach until their timeout: the one that has been idle
     * longest is evicted.
     */
    private boolean acquireConnectionQuota() {
        int connections =
                members.values().stream().mapToInt(member -> member.pool.size()).sum();
        if (connections < limits.maxConnections()) {
            return true;
        }
        EngineConnection longestIdle = members.values().stream()
                .map(member -> member.pool.longestIdle())
                .filter(Objects::nonNull)
                .min(Comparator.comparingLong(EngineConnection::lastUsedNanos))
                .orElse(null);
        if (longestIdle != null) {
            longestIdle.evict();
        }
        return longestIdle != null;
    }

    private static InetSocketAddress parse(String address) {
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        return new InetSocketAddress(address.substring(0, colon), port);
    }
}
