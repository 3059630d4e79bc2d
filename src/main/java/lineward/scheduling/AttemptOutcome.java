package lineward.scheduling;

/** How an attempt or a health check ended. */
public enum AttemptOutcome {
    /** The engine answered without an error. */
    OK(true),
    /** The engine answered with an error. */
    ERROR(true),
    /** It did not run: the engine rejected it, or it was not sent. */
    REJECTED(false),
    /** No answer arrived in time. */
    TIMEOUT(true),
    /** No connection to the engine could be established. */
    CONNECT_FAILED(false),
    /** Its connection to the engine broke, and the engine's process may have ended. */
    RESET(true),
    /** It was cancelled, or its connection broke although the engine is up. */
    CANCELLED(true),
    /** It was not sent because its request had completed or its time had run out. */
    NOT_STARTED(false);

    private final boolean mayHaveRun;

    AttemptOutcome(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /** Returns whether the attempt may have run; false where the outcome proves that it did not. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns whether the engine may still be running the attempt. */
    public boolean isIndeterminate() {
        return this == TIMEOUT || this == RESET || this == CANCELLED;
    }
}
