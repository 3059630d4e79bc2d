package lineward.engine;

import lineward.scheduling.AttemptOutcome;

/**
 * How an attempt can end on the wire, and what that proves. This is the only table that says whether a
 * request may have run: a class that is not idempotent is retried only after an end whose outcome excludes
 * it.
 */
enum AttemptEnd {
    /** All rows have been received. */
    COMPLETED(AttemptOutcome.OK),
    /** The engine replied that it has no capacity: nothing ran. */
    REJECTED(AttemptOutcome.REJECTED),
    /** The engine replied that the request's timeout had passed when it came: nothing ran. */
    EXPIRED(AttemptOutcome.REJECTED),
    /** The engine replied with an error, or no longer knows a page or the query. */
    ENGINE_ERROR(AttemptOutcome.ERROR),
    /** A reply could not be decoded, and so nothing that follows it on the connection. */
    MALFORMED_REPLY(AttemptOutcome.ERROR),
    /** No connection came up through the engine's fault, or the endpoint list no longer has the engine. */
    ENGINE_UNREACHABLE(AttemptOutcome.CONNECT_FAILED),
    /** No connection was free, or the attempt was cancelled before one came up. */
    NOT_SENT(AttemptOutcome.REJECTED),
    /** The connection broke before the request was sent to its last byte: no engine runs half a request. */
    PARTIALLY_SENT(AttemptOutcome.REJECTED),
    /** The connection broke after the request was sent, while others to the engine are up. */
    CONNECTION_BROKEN(AttemptOutcome.CANCELLED),
    /**
     * The connection broke or fell silent after the request was sent, and no other is up: the process ended.
     */
    ENGINE_LOST(AttemptOutcome.RESET);

    /** The outcome that the scheduler is notified of. */
    final AttemptOutcome outcome;

    AttemptEnd(AttemptOutcome outcome) {
        this.outcome = outcome;
    }
}
