package lineward.scheduling;

/** What an engine does with a request whose memory grant does not fit. */
public enum MemoryShortage {
    /** The request waits. */
    WAIT,
    /** The request gets what is left. */
    SHRINK,
    /** The request is admitted and all work on the engine slows down. */
    PAGE
}
