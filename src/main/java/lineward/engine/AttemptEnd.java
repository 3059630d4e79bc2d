package lineward.engine;

import lineward.scheduling.AttemptOutcome;

/**
 * How an attempt can end at the engine's connection, with its outcome. On the line protocol no other code
 * decides whether a request may have run. A request that is not idempotent is retried only after an outcome
 * that excludes it.
 */
enum AttemptEnd {
    /** All rows have been received. */
    COMPLETED(AttemptOutcome.OK),
    /** The engine had no capacity for the request: nothing ran. */
    REJECTED(AttemptOutcome.REJECTED),
    /** The engine received the request after its timeout: nothing ran. */
    EXPIRED(AttemptOutcome.REJECTED),
    /** The engine replied with an error, or has already dropped the query or its result. */
    ENGINE_ERROR(AttemptOutcome.ERROR),
    /** A reply could not be decoded, so all later replies on the connection are unreadable too. */
    MALFORMED_REPLY(AttemptOutcome.ERROR),
    /** The engine is at fault that no connection came up, or it is no longer on the endpoint list. */
    ENGINE_UNREACHABLE(AttemptOutcome.CONNECT_FAILED),
    /** No connection had capacity, or the attempt was cancelled before one came up. */
    NOT_SENT(AttemptOutcome.REJECTED),
    /** The connection broke before the last byte was sent: an engine runs complete requests only. */
    PARTIALLY_SENT(AttemptOutcome.REJECTED),
    /** The connection broke after the request was sent, and another one to the engine is up. */
    CONNECTION_BROKEN(AttemptOutcome.CANCELLED),
    /**
     * The connection broke or was unresponsive after the request was sent, and no other one to the engine is
     * up: its process has probably ended.
     */
    ENGINE_LOST(AttemptOutcome.RESET);

    private final AttemptOutcome outcome;

    AttemptEnd(AttemptOutcome outcome) {
        this.outcome = outcome;
    }

    /** Returns the outcome that is reported to the scheduler. */
    AttemptOutcome outcome() {
        return outcome;
    }
}
