package lineward.engine;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lineward.core.ByteBudget;
import lineward.frontend.RateLimitedLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One connection to an engine and the attempts in flight on it. Called by the pool and the channel on the
 * channel's event loop.
 */
final class EngineConnection extends SimpleChannelInboundHandler<Reply> {
    private static final Logger LOGGER = LoggerFactory.getLogger(EngineConnection.class);
    private static final RateLimitedLog LOG = new RateLimitedLog(LOGGER);
    /** A heartbeat is sent after this time without activity while attempts are in flight. */
    private static final long HEARTBEAT_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** A connection counts as responsive for this time after it was established, and after each reply. */
    private static final long RESPONSIVE_WITHIN_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * Calls of {@link #keepAlive} after which an unanswered heartbeat has timed out. The timeout exceeds the
     * half second for which an engine may pause. It is not measured in time because after a pause of this
     * process the answer may have arrived but not been read.
     */
    private static final int HEARTBEAT_TIMEOUT_TICKS = 7;

    private static final String HEARTBEAT_TAG_PREFIX = "t";
    private static final String HEALTH_CHECK_TAG_PREFIX = "p";
    /** Delay before the attempts of a closed connection end, so that no retry overtakes the close. */
    static final int ATTEMPT_END_DELAY_MS = 6;

    private final InFlightAttempts attempts;
    private final long openedAtUnixMs = System.currentTimeMillis();
    private final ConnectionListener listener;
    private ConnectionState state = ConnectionState.CONNECTING;
    /** Null until {@link #setChannel} is called, like the writer. */
    private Channel channel;

    private RequestWriter writer;
    /** Null until the connection is established. */
    private ReplyDecoder decoder;

    private long lastUsedNanos = System.nanoTime();
    private long lastReplyNanos = lastUsedNanos;
    private int ticksSinceHeartbeat;
    /** The last health check if it is unanswered, else null. An engine has at most one in flight. */
    private HealthCheck healthCheck;

    /** @param pageBudget the bytes that the pages of all incomplete results may use */
    EngineConnection(ConnectionListener listener, ByteBudget pageBudget) {
        super(false);
        this.attempts = new InFlightAttempts(pageBudget);
        this.listener = listener;
    }

    boolean isUp() {
        return state.isUp();
    }

    /** Returns whether it is up and a reply was received recently; sockets to failed machines stay open. */
    boolean isResponsive() {
        return isUp() && System.nanoTime() - lastReplyNanos < RESPONSIVE_WITHIN_NANOS;
    }

    /** Sets the channel, which is being connected. */
    void setChannel(Channel connectingChannel) {
        channel = connectingChannel;
        writer = new RequestWriter(connectingChannel);
    }

    /** Returns whether an attempt with this id may be started, given the maximum in flight. */
    boolean accepts(String id, int maxAttempts) {
        boolean channelIsUsable = isInboundStreamIntact() && canWriteOrQueue();
        return state.acceptsAttempts() && channelIsUsable && attempts.accepts(id, maxAttempts);
    }

    /** Returns false if there is a partial reply but no attempt in flight: the stream may be corrupt. */
    private boolean isInboundStreamIntact() {
        return !attempts.isEmpty() || decoder == null || !decoder.hasPartialReply();
    }

    /** Returns whether a request can be written now, or can wait for the connection to be established. */
    private boolean canWriteOrQueue() {
        return !isUp() || (channel.isOpen() && channel.isWritable());
    }

    int inFlightCount() {
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

    boolean hasAttempt(QueryAttempt attempt) {
        return attempts.contains(attempt);
    }

    /** Starts an attempt. Its request is sent now, or once the connection is up. */
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

    /**
     * Sends the attempt's priority to the engine, unless the request, which contains the priority, is still
     * to be written or the first page was received.
     */
    void sendPriority(QueryAttempt attempt) {
        if (attempt.isRequestWritten() && !attempt.hasFirstPage()) {
            writer.changePriority(attempt.id(), attempt.priority());
        }
    }

    boolean acceptsHealthCheck() {
        return isUp() && channel.isWritable();
    }

    /** Checks the engine's health once the connection is up. The listener is called only on an answer. */
    void checkHealth(HealthCheck.Kind kind, Consumer<Reply> answerListener) {
        healthCheck = new HealthCheck(kind, HEALTH_CHECK_TAG_PREFIX + System.nanoTime(), answerListener);
        lastUsedNanos = System.nanoTime();
        if (isUp()) {
            writer.checkHealth(healthCheck);
        }
    }

    /** Sends a heartbeat if due, or closes the connection if one timed out; called ten times a second. */
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
        boolean isInactive = !attempts.isEmpty() && nowNanos - lastUsedNanos > HEARTBEAT_AFTER_NANOS;
        return isInactive || !isInboundStreamIntact();
    }

    /** Sends a heartbeat, unless one is pending, to detect a connection that is broken but still open. */
    private void sendHeartbeat() {
        if (!state.isHeartbeatPending()) {
            ticksSinceHeartbeat = 0;
            state = state.heartbeatSent();
            writer.ping(HEARTBEAT_TAG_PREFIX + System.nanoTime());
        }
    }

    private void closeUnresponsive() {
        LOG.info("engine connection closed", "engine", channel.remoteAddress(), "heartbeat timeout");
        closeChannel();
        markClosed(listener::attemptsLost);
    }

    /** Closes the channel. The attempts are handled once the channel reports the close. */
    void close() {
        if (channel != null) {
            closeChannel();
        }
    }

    private void closeChannel() {
        channel.close().addListener(FailureLog.CHANNEL);
    }

    /** Closes an idle connection, and removes it from the pool without waiting for the close. */
    void evict() {
        close();
        markClosed(none -> {});
    }

    /** Removes and returns the attempts that wait for the connection; the caller takes ownership. */
    List<QueryAttempt> removeWaitingAttempts() {
        return state.isConnecting() ? attempts.removeAll() : List.of();
    }

    /** Records that the connect timeout has passed; returns whether it is still being established. */
    boolean markConnectOverdue() {
        state = state.connectOverdue();
        return state == ConnectionState.CONNECT_OVERDUE;
    }

    /** If the connection is still being established, closes it and ends its attempts as not sent. */
    void cancelWaitingAttempts() {
        if (state.isConnecting()) {
            markClosed(waiting -> endAll(waiting, AttemptEnd.NOT_SENT));
            close();
        }
    }

    /** Sends the attempts that waited for the connection, which is now up. */
    @Override
    public void channelActive(ChannelHandlerContext context) {
        state = state.connected();
        decoder = context.pipeline().get(ReplyDecoder.class);
        lastUsedNanos = System.nanoTime();
        lastReplyNanos = lastUsedNanos;
        attempts.sendAll(writer, listener::requestSent);
        listener.connected(this);
        if (healthCheck != null) {
            writer.checkHealth(healthCheck);
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
            // An earlier reply that was decoded in the same read was malformed.
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

    /** Closes the connection. A malformed reply ends all attempts, as no later reply can be decoded. */
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LOG.info("engine connection failed", "engine", context.channel().remoteAddress(), cause);
        if (cause instanceof MalformedReplyException || cause.getCause() instanceof MalformedReplyException) {
            // The delay lets the engine see the close before a retry arrives.
            markClosed(lost -> {
                Runnable endLost = () -> endAll(lost, AttemptEnd.MALFORMED_REPLY);
                context.executor()
                        .schedule(endLost, ATTEMPT_END_DELAY_MS, TimeUnit.MILLISECONDS)
                        .addListener(FailureLog.TASK);
            });
        }
        context.close().addListener(FailureLog.CHANNEL);
    }

    private static void endAll(List<QueryAttempt> attemptsToEnd, AttemptEnd end) {
        attemptsToEnd.forEach(attempt -> attempt.end(end));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        markClosed(listener::attemptsLost);
    }

    /** Handles a failure to connect: none of the attempts was sent. */
    void connectFailed(Throwable cause) {
        markClosed(waiting -> listener.attemptsNotSent(waiting, cause));
    }

    /** Marks the connection as closed and hands over its attempts; only the first call has an effect. */
    private void markClosed(Consumer<List<QueryAttempt>> attemptsHandler) {
        if (state != ConnectionState.CLOSED) {
            state = state.closed();
            listener.closed(this);
            attemptsHandler.accept(attempts.removeAll());
        }
    }
}
