package lineward.core;

/**
 * States of an admitted request. A transition that a state does not name leaves it as it is; {@link
 * #COMPLETED} is final.
 */
enum RequestState {
    /** The client waits, and has received no part of a response. */
    OPEN,
    /** An attempt's response has begun to reach the client. */
    RESPONDING,
    /** The final answer is decided, or the client is gone. */
    COMPLETED;

    /** A response begins to reach the client. */
    RequestState responseStarted() {
        return this == OPEN ? RESPONDING : this;
    }

    /** The final answer is decided, or the client is gone. */
    RequestState completed() {
        return COMPLETED;
    }

    /** Returns whether no further answer may be sent. */
    boolean isCompleted() {
        return this == COMPLETED;
    }
}
