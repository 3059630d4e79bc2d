package lineward.scheduling;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
    /** The engine answered. */
    OK(true),
    /** The engine answered with an error. */
    ERROR(true),
    /** It did not begin: the engine rejected it, or it was not sent. */
    REJECTED(false),
    /** No answer came in time. */
    TIMEOUT(true),
    /** No connection to the engine came up. */
    CONNECT_FAILED(false),
    /** The connection broke. */
    RESET(true),
    /** This front end cancelled it, or its connection broke while the engine is up. */
    CANCELLED(true),
    /** It was not sent because its request was complete or its time was up. */
    NOT_STARTED(false);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns false where the outcome proves that the attempt never ran. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the outcome leaves open if the attempt ran, or still runs. */
    public boolean isIndeterminate() {
        return this == TIMEOUT || this == RESET || this == CANCELLED;
    }
}
