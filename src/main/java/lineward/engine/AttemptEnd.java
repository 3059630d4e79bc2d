package lineward.engine;

import lineward.scheduling.AttemptOutcome;

/**
 * The ways in which an attempt on an engine connection can end, each with its outcome. For the line protocol,
 * only this mapping decides whether a request may have run. A request that is not idempotent is retried only
 * after an outcome that proves that it did not run.
 */
enum AttemptEnd {
    /** All rows were received. */
    COMPLETED(AttemptOutcome.OK),
    /** The engine had no capacity for the request: nothing ran. */
    REJECTED(AttemptOutcome.REJECTED),
    /** The engine received the request after its timeout: nothing ran. */
    EXPIRED(AttemptOutcome.REJECTED),
    /** The engine replied with an error, also if it no longer has the query or its result. */
    ENGINE_ERROR(AttemptOutcome.ERROR),
    /** A reply could not be decoded, so all later replies on the connection are unreadable too. */
    MALFORMED_REPLY(AttemptOutcome.ERROR),
    /** Connecting failed and the engine is at fault, or the engine is not on the endpoint list. */
    ENGINE_UNREACHABLE(AttemptOutcome.CONNECT_FAILED),
    /**
     * No connection had capacity; or, before the request was sent, the attempt was cancelled, its connection
     * became overdue or its start deadline passed.
     */
    NOT_SENT(AttemptOutcome.REJECTED),
    /** The connection broke before the last byte was sent; an engine runs only complete requests. */
    PARTIALLY_SENT(AttemptOutcome.REJECTED),
    /** The connection broke after the request was sent, while another one to the engine is up. */
    CONNECTION_BROKEN(AttemptOutcome.CANCELLED),
    /** There was no memory for a page: the query ran, and its result was discarded. */
    RESULT_DISCARDED(AttemptOutcome.CANCELLED),
    /**
     * The connection broke or was unresponsive after the request was sent, and no other one to the engine is
     * up or such failures have repeated: the engine's process has probably ended.
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
