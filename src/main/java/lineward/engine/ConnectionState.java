package lineward.engine;

/**
 * States of a connection to an engine. An event without a transition from the current state leaves it
 * unchanged; {@link #CLOSED} is final.
 */
enum ConnectionState {
    /** The connection is being established; attempts may wait for it. */
    CONNECTING,
    /** The connect timeout has passed; the connection may still be established, but accepts no attempts. */
    CONNECT_OVERDUE,
    /** Established, without a pending heartbeat. */
    READY,
    /** Established; no reply was received since a heartbeat was sent. */
    HEARTBEAT_PENDING,
    /**
     * Established; an attempt was cancelled and no reply was received since. As the connection may be broken,
     * it accepts no attempts before the next reply.
     */
    HEARTBEAT_PENDING_AFTER_CANCEL,
    /** Closed, or about to be closed. */
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

    /** An attempt whose request was written was cancelled, and a heartbeat is pending. */
    ConnectionState attemptCancelled() {
        return isUp() ? HEARTBEAT_PENDING_AFTER_CANCEL : this;
    }

    /** A reply of any kind was received. */
    ConnectionState replyReceived() {
        return isUp() ? READY : this;
    }

    /** The connection broke, was not established, or was closed by this front end. */
    ConnectionState closed() {
        return CLOSED;
    }

    /** Returns whether the connection is being established. */
    boolean isConnecting() {
        return this == CONNECTING || this == CONNECT_OVERDUE;
    }

    /** Returns whether the connection is established, so that requests can be written. */
    boolean isUp() {
        return this == READY || isHeartbeatPending();
    }

    /** Returns whether no reply was received since a heartbeat was sent. */
    boolean isHeartbeatPending() {
        return this == HEARTBEAT_PENDING || this == HEARTBEAT_PENDING_AFTER_CANCEL;
    }

    /** Returns whether new attempts may be started on the connection. */
    boolean acceptsAttempts() {
        return this == CONNECTING || this == READY || this == HEARTBEAT_PENDING;
    }
}
