package lineward.scheduling;

/** What an engine reports about an attempt in flight. */
public enum ProgressKind {
    /** A fraction of the work is done. */
    RATIO_DONE,
    /** It spills to disk because memory is short. */
    SPILLING,
    /** It is queued for memory. */
    WAITING_FOR_MEMORY,
    /** It is queued behind a load of its table group. */
    WAITING_FOR_LOAD;

    /** Returns whether the attempt is queued at the engine and not running. */
    public boolean isWaiting() {
        return this == WAITING_FOR_MEMORY || this == WAITING_FOR_LOAD;
    }
}
