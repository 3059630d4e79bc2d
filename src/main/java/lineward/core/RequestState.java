package lineward.core;

/** States of an admitted request. A transition that does not apply to a state leaves it unchanged. */
enum RequestState {
    /** No part of a response was sent to the client. */
    OPEN,
    /** The first part of an attempt's response was sent to the client. */
    RESPONDING,
    /** The final answer is decided, or the request was cancelled. Final state. */
    COMPLETED;

    /** Returns the state after the first part of a response is sent to the client. */
    RequestState responseStarted() {
        return this == OPEN ? RESPONDING : this;
    }

    /** Returns the state after the final answer is decided or the request is cancelled. */
    RequestState completed() {
        return COMPLETED;
    }

    /** Returns whether the request is completed, so that no further answer may be sent. */
    boolean isCompleted() {
        return this == COMPLETED;
    }
}
