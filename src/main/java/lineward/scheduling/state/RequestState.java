package lineward.scheduling.state;

/** The lifecycle states of an admitted request. */
public enum RequestState {
    /** The request waits for an engine with capacity and has no attempt in flight. */
    QUEUED,
    /** An attempt was started, and the client has received no part of a response yet. */
    IN_FLIGHT,
    /** An attempt was started, and the client has received a part of a response. */
    STREAMING,
    /** The request has its final answer, or its client has gone; an attempt may still be in flight. */
    COMPLETED;

    /** Returns whether the request has its final answer or no longer needs one. */
    public boolean isCompleted() {
        return this == COMPLETED;
    }

    RequestState attemptStarted(boolean responseStarted) {
        if (this != QUEUED) {
            return this;
        }
        return responseStarted ? STREAMING : IN_FLIGHT;
    }

    RequestState responseStarted() {
        return this == IN_FLIGHT ? STREAMING : this;
    }

    RequestState requeued() {
        return this == COMPLETED ? COMPLETED : QUEUED;
    }

    RequestState completed() {
        return COMPLETED;
    }
}
