package lineward.core;

/** States of an attempt. A transition that does not apply to a state leaves it unchanged. */
enum AttemptState {
    /** The attempt is neither cancelled nor ended. */
    RUNNING,
    /** The attempt was cancelled, but its end has not been reported yet. */
    CANCELLING,
    /** The end of the attempt was reported. Final state. */
    ENDED;

    /** Returns the state after the scheduler cancels the attempt. */
    AttemptState cancelled() {
        return this == RUNNING ? CANCELLING : this;
    }

    /** Returns the state after the end of the attempt is reported. */
    AttemptState ended() {
        return ENDED;
    }

    /** Returns whether the attempt may still use capacity of its engine. */
    boolean isInFlight() {
        return this != ENDED;
    }
}
