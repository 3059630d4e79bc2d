package lineward.scheduling;

/** What an engine does with a request whose memory grant exceeds the engine's free memory. */
public enum MemoryShortageHandling {
    /** The request waits for memory. */
    WAIT,
    /** The request runs, and its grant is reduced to the free memory. */
    SHRINK,
    /** The request runs, the engine pages, and all work on it slows down. */
    PAGE
}
