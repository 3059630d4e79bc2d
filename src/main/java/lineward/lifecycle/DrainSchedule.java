package lineward.lifecycle;

/**
 * Decides when the connections of a drain close: over a period, so that clients do not reconnect all at the
 * same time. Does no I/O; times are milliseconds since the start of the drain.
 */
enum DrainSchedule {
    /** An operator drains this process: its clients reconnect to other front ends. */
    OPERATOR_DRAIN(1500) {
        @Override
        boolean rejectsRequests(double elapsedMs) {
            return elapsedMs >= REJECT_AFTER_MS;
        }
    },
    /** A hot restart: clients reconnect to the same socket, and two processes share the work until then. */
    HOT_RESTART(400) {
        @Override
        boolean rejectsRequests(double elapsedMs) {
            return false;
        }
    };

    /** Clients still open connections before this time; afterwards idle ones are closed. */
    private static final double FIRST_CLOSE_AFTER_MS = 300;
    /**
     * A connection that is open at 4 s must not have carried a request for 2 s, so rejections start earlier.
     */
    private static final double REJECT_AFTER_MS = 1800;

    private final double allClosedAfterMs;

    DrainSchedule(double allClosedAfterMs) {
        this.allClosedAfterMs = allClosedAfterMs;
    }

    /** Returns whether new requests are rejected at this time. */
    abstract boolean rejectsRequests(double elapsedMs);

    /** Returns whether idle connections are closed at this time. */
    boolean closesConnections(double elapsedMs) {
        return elapsedMs >= FIRST_CLOSE_AFTER_MS;
    }

    /**
     * Returns the probability with which each idle connection is closed now; 1 at the end of the schedule.
     *
     * @param elapsedMs since the start of the drain
     * @param intervalMs until the next call
     */
    double closeProbability(double elapsedMs, double intervalMs) {
        double remainingMs = allClosedAfterMs - elapsedMs;
        return intervalMs / Math.max(intervalMs, remainingMs);
    }
}
