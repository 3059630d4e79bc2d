package lineward.scheduling.state;

/** The lifecycle of an attempt. */
public enum AttemptState {
    /** It was sent to its engine and has not ended. */
    IN_FLIGHT,
    /** Its cancel was sent; its end has not been reported. */
    CANCELLING,
    /** Its end was reported. */
    ENDED;

    AttemptState cancel() {
        return this == IN_FLIGHT ? CANCELLING : this;
    }

    AttemptState end() {
        return ENDED;
    }
}
