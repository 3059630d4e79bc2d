package lineward.engine;

import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;

/**
 * Decides whether a connection's failure is its engine's fault. One failure alone may be the network's;
 * failures that repeat with no reply between them are the engine's.
 */
final class FaultAttribution {
    /** Lost or failed connections, with no reply between them, from which on the engine is at fault. */
    static final int REPEATED_FAILURES = 4;
    /** Overdue connections, with no reply and none established between them, that make it unreachable. */
    static final int REPEATED_OVERDUE = 2;

    private int failedConnections;
    private int overdueConnections;

    /** A connection has come up. */
    void connected() {
        overdueConnections = 0;
    }

    /** The engine has sent a reply. */
    void replyReceived() {
        failedConnections = 0;
        overdueConnections = 0;
    }

    /** A connection broke under attempts. */
    void connectionLost() {
        failedConnections++;
    }

    /** A connection is overdue: that proves that nothing ran, and alone tells nothing of the engine. */
    void connectOverdue() {
        overdueConnections++;
    }

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
     * resets all its connections, so while another is up this one broke for itself, unless that repeats.
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
