package lineward.scheduling;

/** What an engine reports of an attempt in flight. */
public enum ProgressKind {
    /** A ratio of it is done. */
    RATIO_DONE,
    /** It writes to disk for want of memory. */
    SPILLING,
    /** It is queued for memory. */
    WAITING_FOR_MEMORY,
    /** It is queued behind a load of its table group. */
    WAITING_FOR_LOAD;

    /** Returns whether the attempt waits at the engine and does not run. */
    public boolean isWaiting() {
        return this == WAITING_FOR_MEMORY || this == WAITING_FOR_LOAD;
    }
}
