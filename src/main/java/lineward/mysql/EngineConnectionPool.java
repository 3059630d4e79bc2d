package lineward.mysql;

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
import lineward.scheduling.AttemptOutcome;

/**
 * The connections to one MySQL engine, at most {@code linksPerEngine} of the bounds for attempts; a kill may
 * open one more. Used by the event loop of its connections only.
 */
final class EngineConnectionPool {
    private final Bootstrap bootstrap;
    private final MysqlConfig.Engine engine;
    private final MysqlConfig.Bounds bounds;
    private final List<EngineConnection> connections = new ArrayList<>();
    /** Connections without an attempt, the one used last first. */
    private final Deque<EngineConnection> idle = new ArrayDeque<>();

    private boolean draining;

    EngineConnectionPool(Bootstrap bootstrap, MysqlConfig.Engine engine, MysqlConfig.Bounds bounds) {
        this.bootstrap = bootstrap;
        this.engine = engine;
        this.bounds = bounds;
    }

    String name() {
        return engine.name();
    }

    MysqlConfig.Engine engine() {
        return engine;
    }

    /** Starts the attempt on an idle connection or a new one; at the bound of connections it is rejected. */
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

    /** Returns an idle connection on which the attempt can run, if possible one that has its settings. */
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
        return connections.size() >= bounds.connectionsPerEngine();
    }

    private void closeLeastRecentlyUsed() {
        EngineConnection connection = idle.pollLast();
        connections.remove(connection);
        connection.close();
    }

    /** Kills what runs under that thread of the engine, through another connection. */
    void kill(long threadId) {
        Work killQuery = new Work.Query("", "KILL QUERY " + threadId);
        QueryAttempt kill = new QueryAttempt(killQuery, Map.of(), 0, AttemptListener.DISCARD_REPLY);
        EngineConnection free = idle.pollFirst();
        (free != null ? free : connect()).start(kill);
    }

    private EngineConnection connect() {
        EngineConnection connection = new EngineConnection(this);
        connections.add(connection);
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new PacketDecoder(Packets.LONGEST), connection);
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

    /** An engine that accepts but never greets is given no longer than one that does not accept. */
    private ScheduledFuture<?> closeUnlessLoggedIn(EngineConnection connection, Channel channel) {
        Runnable check = () -> {
            if (!connection.isLoggedIn()) {
                connection.close();
            }
        };
        return channel.eventLoop().schedule(check, bounds.connectTimeoutMs(), TimeUnit.MILLISECONDS);
    }

    /** Rejects the attempts whose command has not been sent, and closes the idle connections. */
    void rejectUnsent() {
        List.copyOf(connections).forEach(EngineConnection::rejectUnsent);
        closeAllIdle();
    }

    /** Takes back a connection that has become idle. */
    void release(EngineConnection connection) {
        if (draining) {
            connection.close();
        } else {
            idle.addFirst(connection);
        }
    }

    /** Forgets a connection that was closed. */
    void remove(EngineConnection connection) {
        connections.remove(connection);
        idle.remove(connection);
    }

    /** Closes the connections as they become idle. */
    void drain() {
        draining = true;
        closeAllIdle();
    }

    /** Keeps idle connections again, after {@link #drain}. */
    void reopen() {
        draining = false;
    }

    /** Returns whether it is draining and has no connection left. */
    boolean isDrained() {
        return draining && connections.isEmpty();
    }

    private void closeAllIdle() {
        closeIdleSince(System.nanoTime() + 1);
    }

    /** Closes the idle connections that were used last before that time of {@link System#nanoTime}. */
    void closeIdleSince(long nanoTime) {
        for (EngineConnection connection : List.copyOf(idle)) {
            if (connection.isIdleSince(nanoTime)) {
                idle.remove(connection);
                connection.close();
            }
        }
    }
}
