package lineward.core;

/** States of an admitted request. A transition that does not apply to a state leaves it unchanged. */
enum TrackedRequestState {
    /** No attempt has started to send its response to the client. */
    OPEN,
    /** An attempt has started to send its response to the client. */
    RESPONDING,
    /** The final answer is decided, or the request was cancelled. Final state. */
    COMPLETED;

    /** Returns the state after an attempt starts to send its response to the client. */
    TrackedRequestState responseStarted() {
        return this == OPEN ? RESPONDING : this;
    }

    /** Returns the state after the final answer is decided or the request is cancelled. */
    TrackedRequestState completed() {
        return COMPLETED;
    }

    /** Returns whether the request is completed, so that no further answer may be sent. */
    boolean isCompleted() {
        return this == COMPLETED;
    }
}
