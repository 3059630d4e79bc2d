package lineward.core;

import java.util.ArrayList;
import java.util.List;

/**
 * The coordinator's record of one admitted request.
 *
 * @param <X> the protocol's own record of a request
 */
final class TrackedRequest<X> {
    private static final int DEFAULT_PRIORITY = 1;

    /** One attempt at an engine. */
    static final class Attempt {
        final String engine;
        boolean inFlight = true;
        boolean cancelled;
        /** Its timeout, or the end of its cancellation. */
        DeadlineQueue.Entry deadline;

        Attempt(String engine) {
            this.engine = engine;
        }

        boolean isRunning() {
            return inFlight && !cancelled;
        }
    }

    final X exchange;
    final double deadlineMs;
    final List<Attempt> attempts = new ArrayList<>(2);
    long id;
    /** Its final answer is settled, or its client has gone. */
    boolean completed;

    int attemptsInFlight;
    /** The attempt whose response reaches the client already, or null. */
    Attempt streaming;

    double grantMb;
    int priority = DEFAULT_PRIORITY;

    TrackedRequest(X exchange, double deadlineMs) {
        this.exchange = exchange;
        this.deadlineMs = deadlineMs;
    }

    /** Returns the attempt with that number if it is in flight, else null. */
    Attempt inFlight(int attempt) {
        return attempt < attempts.size() && attempts.get(attempt).inFlight ? attempts.get(attempt) : null;
    }

    boolean isReleasable() {
        return completed && attemptsInFlight == 0;
    }
}
