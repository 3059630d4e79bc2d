package lineward.scheduling.state;

/** Why an attempt is cancelled. */
public enum CancelCause {
    /**
     * The attempt has exceeded the speculative timeout, its progress shows that a relaunch would be much
     * faster, or its engine is ejected: the request is to run on another engine.
     */
    SPECULATIVE,
    /** The attempt waits at its engine for memory or a load: the request is to run on another engine. */
    MIGRATION,
    /** The request has its final answer, or its client has gone. */
    REQUEST_COMPLETED
}
