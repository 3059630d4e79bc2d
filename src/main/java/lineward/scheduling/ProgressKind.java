package lineward.scheduling;

/** What an engine reports about an attempt in flight. */
public enum ProgressKind {
    /** A fraction of the work is done. */
    RATIO_DONE,
    /** The attempt spills to disk because memory is short. */
    SPILLING,
    /** The attempt waits for memory and does not run. */
    WAITING_FOR_MEMORY,
    /** The attempt waits for a load of its table group and does not run. */
    WAITING_FOR_LOAD;

    /** Returns whether the attempt waits at the engine and does not run. */
    public boolean isWaiting() {
        return this == WAITING_FOR_MEMORY || this == WAITING_FOR_LOAD;
    }
}
