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
import lineward.core.ByteBudget;
import lineward.core.EngineEndpoint;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;

/**
 * The engines on the endpoint list, each with its connection pool. All methods are called on the event loop.
 * If an engine's id is null or unknown, attempts end as unreachable and nothing else is sent.
 */
public final class EngineCluster {
    /**
     * Idle connections are closed after this fraction of the engines' idle timeout, because a request could
     * fail if it were sent while the engine closes the connection.
     */
    private static final double IDLE_TIMEOUT_RATIO = 0.7;

    /** One engine: its state on the endpoint list and its connection pool. */
    private static final class Member {
        private final EnginePool pool;
        private double startedAtUnixMs = Endpoint.STARTED_LONG_AGO;
        private EndpointState state = EndpointState.READY;

        Member(EnginePool pool) {
            this.pool = pool;
        }

        void update(EngineEndpoint endpoint) {
            state = endpoint.state();
            if (endpoint.startedAtMs() != startedAtUnixMs) {
                startedAtUnixMs = endpoint.startedAtMs();
                pool.engineStarted(startedAtUnixMs);
            }
        }

        void unlist() {
            state = EndpointState.GONE;
        }

        boolean isGone() {
            return state == EndpointState.GONE;
        }

        boolean isReady() {
            return state == EndpointState.READY;
        }
    }

    /**
     * Limits of the connections to engines.
     *
     * @param connectTimeoutMs time after which a connection that is still being established is overdue
     * @param engineIdleTimeoutMs time after which engines close idle connections
     * @param maxAttemptsPerConnection maximum number of attempts in flight on one connection
     * @param maxConnections maximum number of connections to all engines
     * @param pageBudget bytes of the pages of incomplete results, shared by all connections
     * @param requestsLoadReports whether a health check requests a load report
     */
    public record Limits(
            int connectTimeoutMs,
            double engineIdleTimeoutMs,
            int maxAttemptsPerConnection,
            int maxConnections,
            ByteBudget pageBudget,
            boolean requestsLoadReports) {}

    /** Notified of the answer to a health check, on the event loop. */
    @FunctionalInterface
    public interface HealthCheckListener {
        /**
         * The engine answered the health check.
         *
         * @param loadReport the numbers of the load report; empty if the answer contains none
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
     * @param loop event loop that runs all connections
     * @param onRequestSent called once the last byte of a request was written to its socket
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
            members.values().forEach(Member::unlist);
        }
        endpoints.forEach(this::updateEndpoint);
        // A connection that is established later could lead to another engine at the same address.
        List.copyOf(members.values()).stream()
                .filter(member -> !member.isReady())
                .forEach(member -> member.pool.cancelWaitingAttempts());
        closeIdleConnections();
    }

    private void updateEndpoint(EngineEndpoint endpoint) {
        findOrCreateMember(endpoint.id(), parse(endpoint.address())).update(endpoint);
    }

    /** Returns the member with this id, with a new pool if the engine is new or its address has changed. */
    private Member findOrCreateMember(String engineId, InetSocketAddress address) {
        Member member = members.get(engineId);
        if (member != null && member.pool.address().equals(address)) {
            return member;
        }
        if (member != null) {
            member.pool.closeAll();
        }
        BooleanSupplier ensureCapacity = this::ensureConnectionCapacity;
        Member added = new Member(new EnginePool(bootstrap, address, limits, ensureCapacity, onRequestSent));
        members.put(engineId, added);
        return added;
    }

    /** Starts an attempt. Its listener is notified when it ends, possibly before this method returns. */
    public void start(String engineId, QueryAttempt attempt) {
        Member member = members.get(engineId);
        if (member == null) {
            attempt.end(AttemptEnd.ENGINE_UNREACHABLE);
        } else {
            member.pool.start(attempt);
        }
    }

    /** Checks an engine's health. The listener is notified only if the engine answers. */
    public void checkHealth(String engineId, HealthCheckListener listener) {
        Member member = members.get(engineId);
        if (member != null) {
            boolean requestsLoadReport = limits.requestsLoadReports();
            HealthCheck.Kind kind = requestsLoadReport ? HealthCheck.Kind.LOAD_REPORT : HealthCheck.Kind.PING;
            member.pool.checkHealth(kind, answer -> notifyAnswered(listener, answer));
        }
    }

    private static void notifyAnswered(HealthCheckListener listener, Reply answer) {
        boolean isHealthy = answer.type() != ReplyType.UNHEALTHY;
        AttemptOutcome outcome = isHealthy ? AttemptOutcome.OK : AttemptOutcome.ERROR;
        listener.answered(outcome, answer.numbers(LineProtocol.LOAD_FIELD));
    }

    /** Cancels an attempt without notifying its listener. */
    public void cancel(String engineId, QueryAttempt attempt) {
        Member member = members.get(engineId);
        if (member != null) {
            member.pool.cancel(attempt);
        }
    }

    /** Ends the attempts that wait for a connection to this engine as not sent. */
    public void cancelWaitingAttempts(String engineId) {
        Member member = members.get(engineId);
        if (member != null) {
            member.pool.cancelWaitingAttempts();
        }
    }

    /** Sets an attempt's priority and sends it to the engine. */
    public void changePriority(String engineId, QueryAttempt attempt, int priority) {
        attempt.setPriority(priority);
        Member member = members.get(engineId);
        if (member != null) {
            member.pool.sendPriority(attempt);
        }
    }

    /** Closes connections past their idle timeout, and all idle connections to engines that are gone. */
    public void closeIdleConnections() {
        long nowNanos = System.nanoTime();
        double idleMs = limits.engineIdleTimeoutMs() * IDLE_TIMEOUT_RATIO;
        long usedBeforeNanos = nowNanos - TimeUnit.MICROSECONDS.toNanos(Math.round(idleMs * 1000));
        for (Member member : members.values()) {
            member.pool.closeIdleConnections(member.isGone() ? nowNanos : usedBeforeNanos);
        }
        members.values().removeIf(member -> member.isGone() && member.pool.connectionCount() == 0);
    }

    /** Sends heartbeats and checks their timeouts on all connections; called ten times a second. */
    public void keepAlive() {
        members.values().forEach(member -> member.pool.keepAlive());
    }

    /**
     * Returns whether one more connection may be opened. At the limit, the least recently used idle
     * connection is evicted; otherwise idle connections would block new ones until their idle timeout.
     */
    private boolean ensureConnectionCapacity() {
        int connectionCount = members.values().stream()
                .mapToInt(member -> member.pool.connectionCount())
                .sum();
        if (connectionCount < limits.maxConnections()) {
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
