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
    private static final long KILL_TIMEOUT_MS = 0;

    private final Bootstrap bootstrap;
    private final EngineConfig engine;
    private final ConnectionLimits limits;
    private final List<EngineConnection> connections = new ArrayList<>();
    /** Connections without an attempt, the most recently used one first. */
    private final Deque<EngineConnection> idle = new ArrayDeque<>();

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

    /**
     * Starts the attempt on an idle connection that can run it, or else on a new one, which may replace an
     * idle one. Rejects the attempt if a new connection would exceed the limit.
     */
    void start(QueryAttempt attempt) {
        Optional<EngineConnection> suited = findIdle(attempt);
        if (suited.isPresent()) {
            idle.remove(suited.get());
            suited.get().start(attempt);
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
    private Optional<EngineConnection> findIdle(QueryAttempt attempt) {
        Predicate<EngineConnection> hasSchema =
                connection -> connection.session().hasSchemaFor(attempt);
        Predicate<EngineConnection> hasSettings =
                connection -> connection.session().hasSettingsFor(attempt);
        return idle.stream()
                .filter(hasSchema.and(hasSettings))
                .findFirst()
                .or(() -> idle.stream().filter(hasSchema).findFirst());
    }

    private boolean isFull() {
        return connections.size() >= limits.connectionsPerEngine();
    }

    private void closeLeastRecentlyUsed() {
        EngineConnection connection = idle.pollLast();
        connections.remove(connection);
        connection.close();
    }

    /** Kills the statement that runs on the connection with this thread id, using another connection. */
    void kill(long threadId) {
        Work killQuery = new Work.TextQuery("", "KILL QUERY " + threadId);
        AttemptListener listener = AttemptListener.DISCARD_REPLY;
        QueryAttempt kill = new QueryAttempt(killQuery, Map.of(), KILL_TIMEOUT_MS, listener);
        EngineConnection connection = idle.isEmpty() ? connect() : idle.pollFirst();
        connection.start(kill);
    }

    private EngineConnection connect() {
        EngineConnection connection = new EngineConnection(this);
        connections.add(connection);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new PacketDecoder(Packets.MAX_PAYLOAD_BYTES), connection);
                    }
                })
                .connect(engine.address());
        connection.connecting(connecting.channel());
        ScheduledFuture<?> loginTimeout = closeUnlessLoggedIn(connection, connecting.channel());
        connecting.addListener(done -> {
            if (!done.isSuccess()) {
                loginTimeout.cancel(false);
                connection.closed();
            }
        });
        return connection;
    }

    /** The connect timeout also covers the login, as an engine may accept connections but never greet. */
    private ScheduledFuture<?> closeUnlessLoggedIn(EngineConnection connection, Channel channel) {
        Runnable check = () -> {
            if (!connection.isLoggedIn()) {
                connection.close();
            }
        };
        return channel.eventLoop().schedule(check, limits.connectTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    /** Rejects the attempts whose command has not been sent, and closes all idle connections. */
    void rejectUnsent() {
        List.copyOf(connections).forEach(EngineConnection::rejectUnsent);
        closeAllIdle();
    }

    /** Takes back a connection that has no attempt; closes it if the pool is draining. */
    void release(EngineConnection connection) {
        if (draining) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
    }

    /** Removes a closed connection. */
    void remove(EngineConnection connection) {
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
        for (EngineConnection connection : List.copyOf(idle)) {
            if (connection.isIdleSince(nanoTime)) {
                idle.remove(connection);
                connection.close();
            }
        }
    }
}
