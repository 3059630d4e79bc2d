package lineward.core;

/**
 * States of an attempt. A transition that a state does not name leaves it as it is; {@link #ENDED} is final.
 */
enum AttemptState {
    /** It was handed to the forwarder and has not ended. */
    RUNNING,
    /** It was cancelled, and its end has not been reported. */
    CANCELLING,
    /** Its end was reported. */
    ENDED;

    /** The scheduler cancels the attempt. */
    AttemptState cancelled() {
        return this == RUNNING ? CANCELLING : this;
    }

    /** The end of the attempt is reported. */
    AttemptState ended() {
        return ENDED;
    }

    /** Returns whether the attempt may still hold capacity at its engine. */
    boolean isInFlight() {
        return this != ENDED;
    }
}
