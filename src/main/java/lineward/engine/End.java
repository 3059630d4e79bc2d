package lineward.engine;

import peatwick.Front.Outcome;

/**
 * How a run can end on the wire, and what that proves. This is the one place that says whether a request may
 * have run: a class that is unsafe to repeat goes out again only behind an end whose outcome excludes it.
 */
enum End {
    /** All rows are here. */
    SERVED(Outcome.OK),
    /** The engine says that it is full, or that the request was over when it came: nothing ran. */
    SHED(Outcome.FULL),
    LATE(Outcome.FULL),
    /** The engine tells of an error, or no longer knows a page or the query. */
    FAULT(Outcome.ERROR),
    /** What came can't be read, and so nothing that follows it. */
    UNREADABLE(Outcome.ERROR),
    /** No connection came up, and by the way it failed that is the engine's; or the list no longer has it. */
    UNREACHED(Outcome.CONNECT_FAILED),
    /** No connection was free, or it was taken back before one was up. */
    UNSENT(Outcome.FULL),
    /** The connection broke while a part of the request was still here: no engine runs half a request. */
    CUT_SHORT(Outcome.FULL),
    /** The connection broke behind the request, while others to its engine stand. */
    BROKEN(Outcome.CANCELLED),
    /** The connection broke or fell silent behind the request, and nothing else stands: the process ended. */
    LOST(Outcome.RESET);

    /** What the planner hears. */
    final Outcome outcome;

    End(Outcome outcome) {
        this.outcome = outcome;
    }
}
