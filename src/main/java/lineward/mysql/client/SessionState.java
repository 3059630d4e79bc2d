package lineward.mysql.client;

/**
 * The state of a client's session, and the transitions between its states. An event that does not apply to a
 * state leaves it unchanged; for example, a query may end while the connection is closing.
 */
enum SessionState {
    /** Connected; the login packet has not been received. */
    AWAITING_LOGIN,
    /** The client has been asked to switch to another authentication plugin. */
    SWITCHING_AUTH,
    /** Authenticated; no command is in progress. */
    IDLE,
    /** A command waits for an engine or is running on one. */
    EXECUTING,
    /** Rows of a spooled result are being sent, and no query runs on an engine. */
    STREAMING,
    /** Rows of a spooled result are being sent while an engine still produces them. */
    EXECUTING_AND_STREAMING,
    /** Not authenticated; an error is being sent, after which the connection closes. */
    REJECTING,
    /** Authenticated; an error is being sent, after which the connection closes. */
    CLOSING,
    /** The connection is closed. */
    DISCONNECTED;

    /** An event that changes the state. */
    enum Event {
        /** The client's authentication plugin is not supported, so that the client is asked to switch. */
        AUTH_SWITCH_REQUESTED,
        /** The client's password has been verified. */
        AUTHENTICATED,
        /** A command that an engine must execute has started. */
        QUERY_STARTED,
        /** The command that an engine must execute has been answered or rejected, or has failed. */
        QUERY_ENDED,
        /** A reply that is read from the spool has started. */
        STREAM_STARTED,
        /** The requested rows have been sent, or the rest of the result is not available. */
        STREAM_ENDED,
        /** An error is sent, after which the connection closes. */
        CLOSE_REQUESTED,
        /** The connection has closed. */
        DISCONNECTED
    }

    /** Returns whether the next packet from the client may be processed. */
    boolean acceptsPackets() {
        return this == AWAITING_LOGIN || this == SWITCHING_AUTH || this == IDLE;
    }

    /** Returns whether the client is not authenticated. */
    boolean isUnauthenticated() {
        return this == AWAITING_LOGIN || this == SWITCHING_AUTH || this == REJECTING;
    }

    /** Returns the state after the event. */
    SessionState after(Event event) {
        return switch (event) {
            case AUTH_SWITCH_REQUESTED -> this == AWAITING_LOGIN ? SWITCHING_AUTH : this;
            case AUTHENTICATED -> this == AWAITING_LOGIN || this == SWITCHING_AUTH ? IDLE : this;
            case QUERY_STARTED -> this == IDLE ? EXECUTING : this;
            case QUERY_ENDED -> afterQueryEnded();
            case STREAM_STARTED -> afterStreamStarted();
            case STREAM_ENDED -> afterStreamEnded();
            case CLOSE_REQUESTED -> afterCloseRequested();
            case DISCONNECTED -> DISCONNECTED;
        };
    }

    private SessionState afterQueryEnded() {
        return switch (this) {
            case EXECUTING -> IDLE;
            case EXECUTING_AND_STREAMING -> STREAMING;
            default -> this;
        };
    }

    private SessionState afterStreamStarted() {
        return switch (this) {
            case IDLE -> STREAMING;
            case EXECUTING -> EXECUTING_AND_STREAMING;
            default -> this;
        };
    }

    private SessionState afterStreamEnded() {
        return switch (this) {
            case STREAMING -> IDLE;
            case EXECUTING_AND_STREAMING -> EXECUTING;
            default -> this;
        };
    }

    private SessionState afterCloseRequested() {
        if (this == DISCONNECTED) {
            return DISCONNECTED;
        }
        return isUnauthenticated() ? REJECTING : CLOSING;
    }
}
