package lineward.scheduling.state;

/** Why an attempt is cancelled. */
public enum CancelCause {
    /**
     * The attempt exceeds the speculative timeout (tau) or is predicted to, or its engine is ejected or makes
     * no progress: the request is relaunched on another engine.
     */
    SLOW,
    /** The attempt waits at its engine for memory or a load: the request is moved to another engine. */
    MIGRATION,
    /** The request has its final answer, or its client has gone. */
    REQUEST_COMPLETED
}
