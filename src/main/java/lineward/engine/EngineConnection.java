package lineward.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lineward.frontend.RateLimitedLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One connection to an engine and the attempts in flight on it. Runs on its channel's event loop. */
final class EngineConnection extends SimpleChannelInboundHandler<Reply> {
    private static final Logger LOGGER = LoggerFactory.getLogger(EngineConnection.class);
    private static final RateLimitedLog LOG = new RateLimitedLog(LOGGER);
    /** With attempts in flight and no reply for so long, a heartbeat goes out. */
    private static final long HEARTBEAT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** An engine that replied within this time is alive. */
    private static final long ALIVE_WITHIN_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * Calls of {@link #keepAlive} by which a heartbeat has to be answered: an engine may stand still for
     * half a second. Calls count, not time: after a stall of this process the answer may be here unread.
     */
    private static final int HEARTBEAT_TIMEOUT_TICKS = 7;
    /** A close reaches its engine within this time. */
    static final int CLOSE_DELAY_MS = 6;

    private final InFlightAttempts attempts = new InFlightAttempts();
    private final long openedAtUnixMs = System.currentTimeMillis();
    private final ConnectionListener listener;
    private ConnectionState state = ConnectionState.CONNECTING;
    private Channel channel;
    private RequestWriter writer;
    private ReplyDecoder decoder;
    private long lastUsedNanos = System.nanoTime();
    private long lastReplyNanos = lastUsedNanos;
    private int ticksSinceHeartbeat;
    /** The last health check here without an answer, or null: at most one is out at an engine. */
    private HealthCheck healthCheck;

    EngineConnection(ConnectionListener listener) {
        super(false);
        this.listener = listener;
    }

    boolean isUp() {
        return state.isUp();
    }

    /** Returns whether it is up and has shown so recently: one to a machine that vanished stays open. */
    boolean isAlive() {
        return isUp() && System.nanoTime() - lastReplyNanos < ALIVE_WITHIN_NANOS;
    }

    /** Sets the channel that is being connected. */
    void connecting(Channel connectingChannel) {
        channel = connectingChannel;
        writer = new RequestWriter(connectingChannel);
    }

    /** Returns whether an attempt of this id may be started here, with so many in flight at most. */
    boolean accepts(String id, int maxAttempts) {
        boolean channelIsUsable = isReadable() && isWritable();
        return state.acceptsAttempts() && channelIsUsable && attempts.accepts(id, maxAttempts);
    }

    /**
     * Returns false once part of a reply has come that belongs to no attempt: what follows can't be decoded.
     */
    private boolean isReadable() {
        return !attempts.isEmpty() || decoder == null || !decoder.hasPartialReply();
    }

    /** Returns whether the channel takes more; one that is not up yet counts as such. */
    private boolean isWritable() {
        return !isUp() || (channel.isOpen() && channel.isWritable());
    }

    int attemptsInFlight() {
        return attempts.size();
    }

    boolean isIdleSince(long nanoTime) {
        return attempts.isEmpty() && lastUsedNanos < nanoTime;
    }

    long lastUsedNanos() {
        return lastUsedNanos;
    }

    boolean openedBefore(double unixMs) {
        return openedAtUnixMs < unixMs;
    }

    boolean carries(QueryAttempt attempt) {
        return attempts.contains(attempt);
    }

    /** Starts an attempt: its request goes out now, or once the connection is up. */
    void start(QueryAttempt attempt) {
        attempts.add(attempt);
        lastUsedNanos = System.nanoTime();
        if (isUp()) {
            attempts.send(attempt, writer, listener::requestSent);
        }
    }

    /** Cancels an attempt; its listener is not notified. */
    void cancel(QueryAttempt attempt) {
        lastUsedNanos = System.nanoTime();
        if (attempts.cancel(attempt, writer)) {
            sendHeartbeat();
            state = state.attemptCancelled();
        }
    }

    /** Sends the attempt's priority to the engine, unless the result is on its way. */
    void sendPriority(QueryAttempt attempt) {
        if (attempt.requestWritten && !attempt.hasFirstPage()) {
            writer.changePriority(attempt.id, attempt.priority);
        }
    }

    boolean acceptsHealthCheck() {
        return isUp() && channel.isWritable();
    }

    /** Checks the engine's health, once the connection is up; one that breaks gives no answer. */
    void checkHealth(HealthCheck.Kind kind, Consumer<Reply> answerListener) {
        healthCheck = new HealthCheck(kind, "p" + System.nanoTime(), answerListener);
        lastUsedNanos = System.nanoTime();
        if (isUp()) {
            writer.healthCheck(healthCheck);
        }
    }

    /** Called ten times a second: sends a heartbeat where it is due, and closes where it was not answered. */
    void keepAlive() {
        long now = System.nanoTime();
        if (state.isHeartbeatPending()) {
            ticksSinceHeartbeat++;
            if (ticksSinceHeartbeat >= HEARTBEAT_TIMEOUT_TICKS) {
                closeUnresponsive();
            }
        } else if (isUp() && needsHeartbeat(now)) {
            sendHeartbeat();
        }
        attempts.freeExpiredIds(now);
    }

    private boolean needsHeartbeat(long nowNanos) {
        boolean isSilent = !attempts.isEmpty() && nowNanos - lastUsedNanos > HEARTBEAT_AFTER_NANOS;
        return isSilent || !isReadable();
    }

    /** A reply may be lost with its connection, which stays open and silent: a heartbeat shows that. */
    private void sendHeartbeat() {
        if (!state.isHeartbeatPending()) {
            ticksSinceHeartbeat = 0;
            state = state.heartbeatSent();
            writer.ping("t" + System.nanoTime());
        }
    }

    private void closeUnresponsive() {
        LOG.info("engine connection closed", "engine=" + channel.remoteAddress(), "heartbeat not answered");
        closeChannel();
        release(listener::attemptsLost);
    }

    /** Closes the channel; its attempts end once that is reported. */
    void close() {
        if (channel != null) {
            closeChannel();
        }
    }

    private void closeChannel() {
        channel.close().addListener(FailureLog.CHANNEL);
    }

    /** Closes an idle connection and frees its place in the pool at once, before the close is reported. */
    void evict() {
        close();
        release(none -> {});
    }

    /** Returns the attempts that wait for the connection to come up; the caller becomes their owner. */
    List<QueryAttempt> removeWaiting() {
        return state.isConnecting() ? attempts.removeAll() : List.of();
    }

    /**
     * Returns whether the connection is not up though its time has passed: from now on nothing waits for it.
     */
    boolean setConnectOverdue() {
        state = state.connectOverdue();
        return state == ConnectionState.CONNECT_OVERDUE;
    }

    /** Ends the attempts that wait for the connection to come up, as not sent, and closes it. */
    void cancelWaiting() {
        if (state.isConnecting()) {
            release(waiting -> endAll(waiting, AttemptEnd.NOT_SENT));
            close();
        }
    }

    /** The connection is up: the attempts that waited for it are sent. */
    @Override
    public void channelActive(ChannelHandlerContext context) {
        state = state.connected();
        decoder = context.pipeline().get(ReplyDecoder.class);
        lastUsedNanos = System.nanoTime();
        lastReplyNanos = lastUsedNanos;
        attempts.sendAll(writer, listener::requestSent);
        listener.connected(this);
        if (healthCheck != null) {
            writer.healthCheck(healthCheck);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Reply reply) {
        lastUsedNanos = System.nanoTime();
        lastReplyNanos = lastUsedNanos;
        state = state.replyReceived();
        listener.replyReceived();
        completeHealthCheck(reply);
        if (state == ConnectionState.CLOSED) {
            // It follows a reply that could not be decoded.
            reply.body().release();
        } else {
            attempts.handle(reply, writer);
        }
    }

    private void completeHealthCheck(Reply reply) {
        if (healthCheck != null && healthCheck.isAnsweredBy(reply)) {
            HealthCheck answered = healthCheck;
            healthCheck = null;
            answered.listener().accept(reply);
        }
    }

    /** Nothing behind a malformed reply can be decoded: all attempts here end with it. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.info("engine connection failed", "engine=" + context.channel().remoteAddress(), cause);
        if (cause instanceof MalformedReplyException || cause.getCause() instanceof MalformedReplyException) {
            // A retry must not overtake the close.
            release(lost -> {
                Runnable endLost = () -> endAll(lost, AttemptEnd.MALFORMED_REPLY);
                context.executor()
                        .schedule(endLost, CLOSE_DELAY_MS, TimeUnit.MILLISECONDS)
                        .addListener(FailureLog.TASK);
            });
        }
        context.close().addListener(FailureLog.CHANNEL);
    }

    private static void endAll(List<QueryAttempt> ended, AttemptEnd end) {
        ended.forEach(attempt -> attempt.end(end));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        release(listener::attemptsLost);
    }

    /** The connection did not come up, which proves that nothing ran. */
    void connectFailed(Throwable cause) {
        release(waiting -> listener.attemptsNotSent(waiting, cause));
    }

    /** Marks the connection closed and hands its attempts on; does nothing where that has happened before. */
    private void release(Consumer<List<QueryAttempt>> successor) {
        if (state != ConnectionState.CLOSED) {
            state = state.closed();
            listener.closed(this);
            successor.accept(attempts.removeAll());
        }
    }
}
