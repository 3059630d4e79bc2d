package lineward.engine;

import lineward.scheduling.AttemptOutcome;

/**
 * How a run can end on the wire, and what that proves. This is the one place that says whether a request may
 * have run: a class that is unsafe to repeat goes out again only behind an end whose outcome excludes it.
 */
enum AttemptEnd {
    /** All rows are here. */
    SERVED(AttemptOutcome.OK),
    /** The engine says that it is full, or that the request was over when it came: nothing ran. */
    SHED(AttemptOutcome.REJECTED),
    LATE(AttemptOutcome.REJECTED),
    /** The engine tells of an error, or no longer knows a page or the query. */
    FAULT(AttemptOutcome.ERROR),
    /** What came can't be read, and so nothing that follows it. */
    UNREADABLE(AttemptOutcome.ERROR),
    /** No connection came up, and by the way it failed that is the engine's; or the list no longer has it. */
    UNREACHED(AttemptOutcome.CONNECT_FAILED),
    /** No connection was free, or it was taken back before one was up. */
    UNSENT(AttemptOutcome.REJECTED),
    /** The connection broke while a part of the request was still here: no engine runs half a request. */
    CUT_SHORT(AttemptOutcome.REJECTED),
    /** The connection broke behind the request, while others to its engine stand. */
    BROKEN(AttemptOutcome.CANCELLED),
    /** The connection broke or fell silent behind the request, and nothing else stands: the process ended. */
    LOST(AttemptOutcome.RESET);

    /** What the planner hears. */
    final AttemptOutcome outcome;

    AttemptEnd(AttemptOutcome outcome) {
        this.outcome = outcome;
    }
}
