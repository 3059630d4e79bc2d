package lineward.scheduling.state;

/** The lifecycle states of an attempt. */
public enum AttemptState {
    /** The attempt was sent to its engine, has not ended and is not being cancelled. */
    RUNNING,
    /** Cancellation was sent; the end of the attempt has not been reported yet. */
    CANCELLING,
    /** The end of the attempt was reported. */
    ENDED;

    AttemptState cancelled() {
        return this == RUNNING ? CANCELLING : this;
    }

    AttemptState ended() {
        return ENDED;
    }
}
