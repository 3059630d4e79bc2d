package lineward.engine;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/**
 * Decides whether failures of connections are their engine's fault. A single failure may be caused by the
 * network; failures that repeat without a reply between them are attributed to the engine. The pool calls it
 * on the event loop.
 */
final class FaultAttribution {
    /** The engine is at fault after this many lost or failed connections without a reply between them. */
    static final int REPEATED_FAILURES = 4;
    /** The engine is unreachable after this many overdue connections without an established one between. */
    static final int REPEATED_OVERDUE = 2;

    private int failedConnections;
    private int overdueConnections;

    /** A connection is established. */
    void connected() {
        overdueConnections = 0;
    }

    /** The engine has sent a reply. */
    void replyReceived() {
        failedConnections = 0;
        overdueConnections = 0;
    }

    /** A connection with attempts in flight broke. */
    void connectionLost() {
        failedConnections++;
    }

    /** A connection is overdue. Nothing was sent on it, and the cause may be the network. */
    void connectOverdue() {
        overdueConnections++;
    }

    /** Returns the number of consecutive overdue connections. */
    int overdueConnections() {
        return overdueConnections;
    }

    /** Returns the end of attempts that waited for an overdue connection. */
    AttemptEnd endOfOverdue() {
        boolean isUnreachable = overdueConnections >= REPEATED_OVERDUE;
        return isUnreachable ? AttemptEnd.ENGINE_UNREACHABLE : AttemptEnd.NOT_SENT;
    }

    /**
     * A connection could not be established.
     *
     * @return whether that is the engine's fault: it refused the connection, or this has repeated
     */
    boolean connectFailed(Throwable cause) {
        failedConnections++;
        boolean wasRefused = cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
        return wasRefused || isRepeated();
    }

    /**
     * Returns the end of attempts whose connection broke after their request was sent. A process that ends
     * resets all its connections, so a single failure is the connection's own if another connection is up.
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
