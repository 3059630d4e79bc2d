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
    static final int REPEATED_FAILURES = 4;
    /** Number of consecutive overdue connections at which the engine counts as unreachable. */
    static final int REPEATED_OVERDUE = 2;

    private int failedConnections;
    private int overdueConnections;

    /** Records that a connection was established. */
    void connected() {
        overdueConnections = 0;
    }

    /** Records that a reply was received. */
    void replyReceived() {
        failedConnections = 0;
        overdueConnections = 0;
    }

    /** Records that a connection with attempts in flight broke. */
    void connectionLost() {
        failedConnections++;
    }

    /** Records an overdue connection. Nothing was sent on it, and the cause may be the network. */
    void connectOverdue() {
        overdueConnections++;
    }

    /** Returns the number of overdue connections since the last established one or reply. */
    int overdueConnections() {
        return overdueConnections;
    }

    /** Returns how attempts that waited for an overdue connection end. */
    AttemptEnd endOfOverdue() {
        boolean isUnreachable = overdueConnections >= REPEATED_OVERDUE;
        return isUnreachable ? AttemptEnd.ENGINE_UNREACHABLE : AttemptEnd.NOT_SENT;
    }

    /**
     * Records that a connection was not established.
     *
     * @return whether the engine is at fault: it refused the connection, or failures have repeated
     */
    boolean connectFailed(Throwable cause) {
        failedConnections++;
        boolean wasRefused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return wasRefused || isRepeated();
    }

    /**
     * Returns how attempts end whose connection broke after their request was sent. A process that ends
     * resets all its connections; while another one is up, a single failure is therefore not its fault.
     *
     * @param otherIsUp whether another connection to the engine is up
     */
    AttemptEnd endOfLost(boolean otherIsUp) {
        return otherIsUp && !isRepeated() ? AttemptEnd.CONNECTION_BROKEN : AttemptEnd.ENGINE_LOST;
    }

    private boolean isRepeated() {
        return failedConnections >= REPEATED_FAILURES;
    }
}
