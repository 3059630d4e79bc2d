package lineward.mysql.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import lineward.core.ByteBudget;
import lineward.mysql.session.Work;
import lineward.mysql.wire.PacketDecoder;
import lineward.mysql.wire.Packets;
import lineward.scheduling.AttemptOutcome;

/**
 * The connections to one MySQL engine. {@link ConnectionLimits} limits their number, but a kill may open one
 * more if no connection is idle. Confined to the event loop.
 */
final class EngineConnectionPool {
    /** Not used: the timeout applies to spooled replies only, and the reply to a kill is never spooled. */
    private static final long UNUSED_TIMEOUT_MS = 0;

    private final Bootstrap bootstrap;
    private final EngineConfig engine;
    private final ConnectionLimits limits;
    private final List<MysqlEngineConnection> connections = new ArrayList<>();
    /** Connections without an attempt, the most recently used one first. */
    private final Deque<MysqlEngineConnection> idle = new ArrayDeque<>();

    private boolean draining;

    EngineConnectionPool(Bootstrap bootstrap, EngineConfig engine, ConnectionLimits limits) {
        this.bootstrap = bootstrap;
        this.engine = engine;
        this.limits = limits;
    }

    String name() {
        return engine.name();
    }

    EngineConfig engine() {
        return engine;
    }

    ByteBudget replyBudget() {
        return limits.replyBudget();
    }

    /**
     * Starts the attempt on an idle connection that can run it, or else on a new one, which may replace an
     * idle one. Rejects the attempt if a new connection would exceed the limit.
     */
    void start(MysqlQueryAttempt attempt) {
        Optional<MysqlEngineConnection> suitable = findIdle(attempt);
        if (suitable.isPresent()) {
            idle.remove(suitable.get());
            suitable.get().start(attempt);
            return;
        }
        if (isFull() && !idle.isEmpty()) {
            closeLeastRecentlyUsed();
        }
        if (isFull()) {
            attempt.end(AttemptOutcome.REJECTED);
        } else {
            connect().start(attempt);
        }
    }

    /** Returns an idle connection that can run the attempt, preferably one that already has its settings. */
    private Optional<MysqlEngineConnection> findIdle(MysqlQueryAttempt attempt) {
        Predicate<MysqlEngineConnection> canRun =
                connection -> connection.session().canRun(attempt);
        Predicate<MysqlEngineConnection> hasSettings =
                connection -> connection.session().hasSettingsFor(attempt);
        return idle.stream()
                .filter(canRun.and(hasSettings))
                .findFirst()
                .or(() -> idle.stream().filter(canRun).findFirst());
    }

    private boolean isFull() {
        return connections.size() >= limits.connectionsPerEngine();
    }

    private void closeLeastRecentlyUsed() {
        MysqlEngineConnection connection = idle.pollLast();
        connections.remove(connection);
        connection.close();
    }

    /** Kills the statement that runs on the connection with this thread id, using another connection. */
    void kill(long threadId) {
        Work killCommand = new Work.TextQuery("", "KILL QUERY " + threadId);
        AttemptListener listener = AttemptListener.DISCARD_REPLY;
        MysqlQueryAttempt kill = new MysqlQueryAttempt(killCommand, Map.of(), UNUSED_TIMEOUT_MS, listener);
        MysqlEngineConnection connection = idle.isEmpty() ? connect() : idle.pollFirst();
        connection.start(kill);
    }

    private MysqlEngineConnection connect() {
        PacketDecoder decoder = new PacketDecoder(Packets.MAX_PAYLOAD_BYTES);
        MysqlEngineConnection connection = new MysqlEngineConnection(this, decoder);
        connections.add(connection);
        ChannelFuture connectFuture = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(decoder, connection);
                    }
                })
                .connect(engine.address());
        connection.setChannel(connectFuture.channel());
        ScheduledFuture<?> loginTimeout = scheduleLoginTimeout(connection, connectFuture.channel());
        connectFuture.addListener(done -> {
            if (!done.isSuccess()) {
                loginTimeout.cancel(false);
                connection.handleClosed();
            }
        });
        return connection;
    }

    /** The connect timeout also covers the login, as an engine may accept connections but never greet. */
    private ScheduledFuture<?> scheduleLoginTimeout(MysqlEngineConnection connection, Channel channel) {
        Runnable check = () -> {
            if (!connection.isLoggedIn()) {
                connection.close();
            }
        };
        return channel.eventLoop().schedule(check, limits.connectTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    /** Rejects the attempts whose command has not been sent, and closes all idle connections. */
    void rejectUnsent() {
        List.copyOf(connections).forEach(MysqlEngineConnection::rejectIfUnsent);
        closeAllIdle();
    }

    /** Takes back a connection that has no attempt; closes it if the pool is draining. */
    void release(MysqlEngineConnection connection) {
        if (draining) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
    }

    /** Removes a closed connection. */
    void remove(MysqlEngineConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
    }

    /** Closes the idle connections now, and the other ones when their attempts have ended. */
    void drain() {
        draining = true;
        closeAllIdle();
    }

    /** Ends the drain, so that idle connections are kept again. */
    void reopen() {
        draining = false;
    }

    /** Returns whether the pool is draining and has no connections left. */
    boolean isDrained() {
        return draining && connections.isEmpty();
    }

    private void closeAllIdle() {
        closeIdleSince(System.nanoTime() + 1);
    }

    /** Closes the connections that have been idle since before this {@link System#nanoTime}. */
    void closeIdleSince(long nanoTime) {
        for (MysqlEngineConnection connection : List.copyOf(idle)) {
            if (connection.isIdleSince(nanoTime)) {
                idle.remove(connection);
                connection.close();
            }
        }
    }
}
