package lineward.scheduling.state;

/** Why an attempt is cancelled. */
public enum CancelCause {
    /** It is past tau, or its engine makes no progress: it is relaunched elsewhere. */
    SLOW,
    /** It waits at a full engine and is queued at another one. */
    MIGRATION,
    /** Its request has its final answer, or the client has gone. */
    REQUEST_COMPLETED
}
