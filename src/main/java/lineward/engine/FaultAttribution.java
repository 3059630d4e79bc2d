package lineward.engine;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/**
 * Decides whether connection failures are attributed to the engine. A single failure may be caused by the
 * network; failures that repeat without a reply between them are attributed to the engine. Called by the pool
 * on the event loop.
 */
final class FaultAttribution {
    /** Number of lost or failed connections, without a reply between them, that are the engine's fault. */
    static final int FAILURE_THRESHOLD = 4;
    /** Number of consecutive overdue connections at which the engine counts as unreachable. */
    static final int OVERDUE_THRESHOLD = 2;

    private int failedConnectionCount;
    private int overdueConnectionCount;

    /** Records that a connection was established. */
    void connected() {
        overdueConnectionCount = 0;
    }

    /** Records that a reply was received. */
    void replyReceived() {
        failedConnectionCount = 0;
        overdueConnectionCount = 0;
    }

    /** Records that a connection with attempts in flight broke. */
    void connectionLost() {
        failedConnectionCount++;
    }

    /** Records an overdue connection. Nothing was sent on it, and the cause may be the network. */
    void connectOverdue() {
        overdueConnectionCount++;
    }

    /** Returns the number of overdue connections since the last established one or reply. */
    int overdueConnectionCount() {
        return overdueConnectionCount;
    }

    /** Returns how attempts that waited for an overdue connection end. */
    AttemptEnd endOfOverdue() {
        boolean isUnreachable = overdueConnectionCount >= OVERDUE_THRESHOLD;
        return isUnreachable ? AttemptEnd.ENGINE_UNREACHABLE : AttemptEnd.NOT_SENT;
    }

    /**
     * Records that a connection was not established.
     *
     * @return whether the engine is at fault: it refused the connection, or failures have repeated
     */
    boolean connectFailed(Throwable cause) {
        failedConnectionCount++;
        boolean wasRefused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return wasRefused || hasRepeatedFailures();
    }

    /**
     * Returns how attempts end whose connection broke after their request was sent. A process that ends
     * resets all its connections; while another one is up, a single failure is therefore not its fault.
     *
     * @param otherIsUp whether another connection to the engine is up
     */
    AttemptEnd endOfLost(boolean otherIsUp) {
        return otherIsUp && !hasRepeatedFailures() ? AttemptEnd.CONNECTION_BROKEN : AttemptEnd.ENGINE_LOST;
    }

    private boolean hasRepeatedFailures() {
        return failedConnectionCount >= FAILURE_THRESHOLD;
    }
}
