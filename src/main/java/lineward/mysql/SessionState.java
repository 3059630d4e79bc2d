package lineward.mysql;

/**
 * Where the session of one client stands. Events lead from one state to the next; an event that means
 * nothing in a state leaves it as it is, such as the end of a query whose connection is closing.
 */
enum SessionState {
    /** Connected; the client's login packet has not come. */
    AWAITING_LOGIN,
    /** The client has been asked to prove its password by another authentication plugin. */
    AWAITING_PROOF,
    /** Authenticated, and no command is being carried out. */
    IDLE,
    /** A command is queued for an engine or runs there. */
    EXECUTING,
    /** Rows of a spooled result are being sent, and no engine has a part in it. */
    STREAMING,
    /** Rows of a spooled result are being sent while an engine still produces them. */
    EXECUTING_AND_STREAMING,
    /** Not authenticated: a last error is being sent, behind which the connection closes. */
    REJECTING,
    /** Authenticated: a last error is being sent, behind which the connection closes. */
    CLOSING,
    /** The connection is gone. */
    DISCONNECTED;

    /** What can happen to a session. */
    enum Event {
        /** The client's authentication plugin is unknown, and it has been asked to use another. */
        AUTH_SWITCH_REQUESTED,
        /** The client has proven its password. */
        AUTHENTICATED,
        /** A command has been handed on for execution at an engine. */
        QUERY_STARTED,
        /** The command that ran at an engine has been answered, rejected or has failed. */
        QUERY_ENDED,
        /** Rows of a spooled result begin to be sent. */
        STREAM_STARTED,
        /** All rows that were asked for have been sent, or the result has broken off. */
        STREAM_ENDED,
        /** A last error goes out, and the connection is to close behind it. */
        CLOSE_REQUESTED,
        /** The connection has closed. */
        DISCONNECTED
    }

    /** Returns whether the next packet of the client may be processed. */
    boolean acceptsPackets() {
        return this == AWAITING_LOGIN || this == AWAITING_PROOF || this == IDLE;
    }

    /** Returns whether the client has not proven who it is. */
    boolean isUnauthenticated() {
        return this == AWAITING_LOGIN || this == AWAITING_PROOF || this == REJECTING;
    }

    /** Returns the state in which the event leaves the session. */
    SessionState after(Event event) {
        return switch (event) {
            case AUTH_SWITCH_REQUESTED -> this == AWAITING_LOGIN ? AWAITING_PROOF : this;
            case AUTHENTICATED -> this == AWAITING_LOGIN || this == AWAITING_PROOF ? IDLE : this;
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
