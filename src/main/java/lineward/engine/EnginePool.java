package lineward.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import lineward.frontend.RateLimitedLog;
import org.slf4j.LoggerFactory;

/**
 * The connections to one engine. Engines that use the same address one after the other have separate pools.
 * Called by the cluster on the event loop, which also runs the connections.
 */
final class EnginePool implements ConnectionListener {
    /** Maximum number of connections to one engine; at the limit, attempts share connections. */
    private static final int MAX_CONNECTIONS = 16;
    /** Waiting attempts migrate to a responsive connection after the connect timeout divided by this. */
    private static final int MIGRATION_DELAY_DIVISOR = 4;
    /** Connecting is abandoned after this multiple of the connect timeout. */
    static final int CONNECT_ABANDON_FACTOR = 8;

    private static final RateLimitedLog LOG = new RateLimitedLog(LoggerFactory.getLogger(EnginePool.class));
    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final EngineCluster.Limits limits;
    private final BooleanSupplier ensureClusterCapacity;
    private final Runnable onRequestSent;
    private final List<EngineConnection> connections = new ArrayList<>();
    private final FaultAttribution faults = new FaultAttribution();

    /**
     * Creates a pool without connections.
     *
     * @param ensureClusterCapacity returns whether one more connection may be opened
     * @param onRequestSent called once the last byte of a request was written to its socket
     */
    EnginePool(
            Bootstrap bootstrap,
            InetSocketAddress address,
            EngineCluster.Limits limits,
            BooleanSupplier ensureClusterCapacity,
            Runnable onRequestSent) {
        this.bootstrap = bootstrap;
        this.address = address;
        this.limits = limits;
        this.ensureClusterCapacity = ensureClusterCapacity;
        this.onRequestSent = onRequestSent;
    }

    InetSocketAddress address() {
        return address;
    }

    /**
     * Starts an attempt, if possible on a connection without other attempts, because a malformed reply ends
     * all attempts on its connection.
     */
    void start(QueryAttempt attempt) {
        EngineConnection connection = leastLoaded(candidate -> accepts(candidate, attempt));
        if ((connection == null || connection.inFlightCount() > 0) && ensureCapacity()) {
            connection = connect();
        }
        if (connection == null) {
            attempt.end(AttemptEnd.NOT_SENT);
        } else {
            connection.start(attempt);
        }
    }

    private boolean accepts(EngineConnection connection, QueryAttempt attempt) {
        return connection.accepts(attempt.id(), limits.maxAttemptsPerConnection());
    }

    private boolean ensureCapacity() {
        return connections.size() < MAX_CONNECTIONS && ensureClusterCapacity.getAsBoolean();
    }

    /** Returns the matching connection with the fewest attempts in flight; null if none matches. */
    private EngineConnection leastLoaded(Predicate<EngineConnection> condition) {
        return connections.stream()
                .filter(condition)
                .min(Comparator.comparingInt(EngineConnection::inFlightCount))
                .orElse(null);
    }

    private EngineConnection connect() {
        EngineConnection connection = new EngineConnection(this, limits.pageBudget());
        connections.add(connection);
        ChannelFuture connectFuture =
                bootstrap.clone().handler(initializer(connection)).connect(address);
        connection.setChannel(connectFuture.channel());
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                connection.connectFailed(done.cause());
            }
        });
        schedule(() -> migrateWaiting(connection), limits.connectTimeoutMs() / MIGRATION_DELAY_DIVISOR);
        schedule(() -> endOverdue(connection), limits.connectTimeoutMs());
        return connection;
    }

    private static ChannelInitializer<Channel> initializer(EngineConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(Channel channel) {
                channel.pipeline().addLast(new ReplyDecoder(), connection);
            }
        };
    }

    private void schedule(Runnable task, long delayMs) {
        bootstrap
                .config()
                .group()
                .next()
                .schedule(task, delayMs, TimeUnit.MILLISECONDS)
                .addListener(FailureLog.TASK);
    }

    /** Migrates attempts that wait for a slow connection to responsive ones; if there are none, they wait. */
    private void migrateWaiting(EngineConnection slow) {
        for (QueryAttempt attempt : slow.removeWaitingAttempts()) {
            EngineConnection target = leastLoaded(other -> other.isResponsive() && accepts(other, attempt));
            (target == null ? slow : target).start(attempt);
        }
    }

    /** Ends the attempts that wait for a connection that is not established by its connect timeout. */
    private void endOverdue(EngineConnection connection) {
        if (connection.markConnectOverdue()) {
            faults.connectOverdue();
            String cause = "connect timeout overdueConnections=" + faults.overdueConnectionCount();
            LOG.info("no connection to engine yet", "engine", address, cause);
            AttemptEnd end = faults.endOfOverdue();
            connection.removeWaitingAttempts().forEach(attempt -> attempt.end(end));
        }
    }

    @Override
    public void connected(EngineConnection connection) {
        faults.connected();
    }

    @Override
    public void closed(EngineConnection connection) {
        connections.remove(connection);
    }

    @Override
    public void requestSent() {
        onRequestSent.run();
    }

    @Override
    public void replyReceived() {
        faults.replyReceived();
    }

    /** Ends the attempts after a delay, so that other connections that broke at the same time count too. */
    @Override
    public void attemptsLost(List<QueryAttempt> attempts) {
        if (!attempts.isEmpty()) {
            faults.connectionLost();
            schedule(() -> endLost(attempts), EngineConnection.ATTEMPT_END_DELAY_MS);
        }
    }

    private void endLost(List<QueryAttempt> attempts) {
        AttemptEnd endOfSent = faults.endOfLost(connections.stream().anyMatch(EngineConnection::isUp));
        for (QueryAttempt attempt : attempts) {
            attempt.end(attempt.isRequestSent() ? endOfSent : AttemptEnd.PARTIALLY_SENT);
        }
    }

    /** Ends the attempts if the engine is at fault; otherwise starts them on another connection. */
    @Override
    public void attemptsNotSent(List<QueryAttempt> attempts, Throwable cause) {
        if (attempts.isEmpty()) {
            return;
        }
        boolean isEngineFault = faults.connectFailed(cause);
        LOG.info("no connection to engine", "engine", address, cause);
        if (isEngineFault) {
            attempts.forEach(attempt -> attempt.end(AttemptEnd.ENGINE_UNREACHABLE));
        } else {
            attempts.forEach(this::start);
        }
    }

    /** Checks the engine's health on an established connection or a new one; does nothing at the limits. */
    void checkHealth(HealthCheck.Kind kind, Consumer<Reply> answerListener) {
        EngineConnection connection = leastLoaded(EngineConnection::acceptsHealthCheck);
        if (connection == null && ensureCapacity()) {
            connection = connect();
        }
        if (connection != null) {
            connection.checkHealth(kind, answerListener);
        }
    }

    /** Cancels an attempt; its listener is not notified. */
    void cancel(QueryAttempt attempt) {
        connectionOf(attempt).ifPresent(connection -> connection.cancel(attempt));
    }

    /** Sends the attempt's changed priority to the engine. */
    void sendPriority(QueryAttempt attempt) {
        connectionOf(attempt).ifPresent(connection -> connection.sendPriority(attempt));
    }

    private Optional<EngineConnection> connectionOf(QueryAttempt attempt) {
        return connections.stream()
                .filter(connection -> connection.hasAttempt(attempt))
                .findFirst();
    }

    void closeIdleConnections(long usedBeforeNanos) {
        closeAll(connection -> connection.isIdleSince(usedBeforeNanos));
    }

    private void closeAll(Predicate<EngineConnection> condition) {
        connections.stream().filter(condition).toList().forEach(EngineConnection::close);
    }

    /** Returns the least recently used idle connection; null if none is idle. */
    EngineConnection longestIdle() {
        return connections.stream()
                .filter(connection -> connection.isIdleSince(System.nanoTime()))
                .min(Comparator.comparingLong(EngineConnection::lastUsedNanos))
                .orElse(null);
    }

    /**
     * Closes connections that were opened before the engine's process started, as they lead to an earlier
     * process. The attempts that wait for them end too: they were meant for the earlier process, not for one
     * in slow start.
     *
     * @param startedAtUnixMs start time of the engine's process
     */
    void engineStarted(double startedAtUnixMs) {
        List<EngineConnection> stale = connections.stream()
                .filter(connection -> connection.openedBefore(startedAtUnixMs))
                .toList();
        stale.forEach(connection -> {
            connection.cancelWaitingAttempts();
            connection.close();
        });
    }

    /** Sends heartbeats and checks their timeouts on all connections; called ten times a second. */
    void keepAlive() {
        List.copyOf(connections).forEach(EngineConnection::keepAlive);
    }

    /** Closes connections that are being established; the attempts that wait for them end as not sent. */
    void cancelWaitingAttempts() {
        List.copyOf(connections).forEach(EngineConnection::cancelWaitingAttempts);
    }

    int connectionCount() {
        return connections.size();
    }

    void closeAll() {
        cancelWaitingAttempts();
        List.copyOf(connections).forEach(EngineConnection::close);
    }
}
