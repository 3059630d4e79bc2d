package lineward.engine;

/**
 * States of a connection to an engine. A transition that a state does not name leaves it as it is; {@link
 * #CLOSED} is final.
 */
enum ConnectionState {
    /** The connection is being established; attempts may wait for it. */
    CONNECTING,
    /** The connect timeout has passed; the connection may still come up, but no attempt waits for it. */
    CONNECT_OVERDUE,
    /** Established, with no heartbeat in flight. */
    READY,
    /** Established; a heartbeat was sent and no reply has followed. */
    HEARTBEAT_PENDING,
    /** Established; an attempt was cancelled and no reply has followed. New attempts wait for a reply. */
    AWAITING_RESPONSE,
    /** The connection accepts nothing any more. */
    CLOSED;

    /** The connect timeout has passed. */
    ConnectionState connectOverdue() {
        return this == CONNECTING ? CONNECT_OVERDUE : this;
    }

    /** The connection is established. */
    ConnectionState connected() {
        return isConnecting() ? READY : this;
    }

    /** A heartbeat was sent. */
    ConnectionState heartbeatSent() {
        return this == READY ? HEARTBEAT_PENDING : this;
    }

    /** An attempt whose request was written was cancelled, and a heartbeat was sent after the cancel. */
    ConnectionState attemptCancelled() {
        return isUp() ? AWAITING_RESPONSE : this;
    }

    /** A reply of any kind was received. */
    ConnectionState replyReceived() {
        return isUp() ? READY : this;
    }

    /** The connection broke, was not established or was closed by this front end. */
    ConnectionState closed() {
        return CLOSED;
    }

    /** Returns whether the connection is not established yet. */
    boolean isConnecting() {
        return this == CONNECTING || this == CONNECT_OVERDUE;
    }

    /** Returns whether the connection is established, so that requests can be written. */
    boolean isUp() {
        return this == READY || isHeartbeatPending();
    }

    /** Returns whether a heartbeat was sent and no reply has followed. */
    boolean isHeartbeatPending() {
        return this == HEARTBEAT_PENDING || this == AWAITING_RESPONSE;
    }

    /** Returns whether new attempts may be started here. */
    boolean acceptsAttempts() {
        return this == CONNECTING || this == READY || this == HEARTBEAT_PENDING;
    }
}
