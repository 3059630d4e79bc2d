package lineward.engine;

/**
 * States of a connection to an engine. A transition that a state does not name leaves it as it is; {@link
 * #CLOSED} is final.
 */
enum ConnectionState {
    /** Being established; attempts may wait for it. */
    CONNECTING,
    /** Should have come up by now: it still may, but nothing waits for it any more. */
    CONNECT_OVERDUE,
    /** Up, with no heartbeat out. */
    READY,
    /** Up; a heartbeat is out that no reply has followed. */
    HEARTBEAT_PENDING,
    /** Up; an attempt was cancelled here and no reply has followed: it gets nothing new until one does. */
    AWAITING_RESPONSE,
    /** Of no more use. */
    CLOSED;

    /** The time in which it should have come up has passed. */
    ConnectionState connectOverdue() {
        return this == CONNECTING ? CONNECT_OVERDUE : this;
    }

    /** The connection has come up. */
    ConnectionState connected() {
        return isConnecting() ? READY : this;
    }

    /** A heartbeat went out. */
    ConnectionState heartbeatSent() {
        return this == READY ? HEARTBEAT_PENDING : this;
    }

    /** An attempt whose request was written has been cancelled, with a heartbeat out behind it. */
    ConnectionState attemptCancelled() {
        return isUp() ? AWAITING_RESPONSE : this;
    }

    /** A reply of any kind was received. */
    ConnectionState replyReceived() {
        return isUp() ? READY : this;
    }

    /** The connection broke, did not come up or was closed here. */
    ConnectionState closed() {
        return CLOSED;
    }

    /** Returns whether it is not up yet. */
    boolean isConnecting() {
        return this == CONNECTING || this == CONNECT_OVERDUE;
    }

    /** Returns whether requests can be written. */
    boolean isUp() {
        return this == READY || isHeartbeatPending();
    }

    /** Returns whether a heartbeat is out that no reply has followed. */
    boolean isHeartbeatPending() {
        return this == HEARTBEAT_PENDING || this == AWAITING_RESPONSE;
    }

    /** Returns whether new attempts may be started here. */
    boolean acceptsAttempts() {
        return this == CONNECTING || this == READY || this == HEARTBEAT_PENDING;
    }
}
