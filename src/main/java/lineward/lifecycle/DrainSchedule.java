package lineward.lifecycle;

/**
 * Decides when connections are closed during a drain. The closes are spread over a period, so that clients do
 * not all reconnect at the same time. Does no I/O; times are milliseconds since the start of the drain.
 */
enum DrainSchedule {
    /** A drain started by an operator: all clients have to reconnect to other front ends. */
    OPERATOR_DRAIN(1500) {
        @Override
        boolean rejectsRequests(double elapsedMs) {
            return elapsedMs >= REJECT_AFTER_MS;
        }
    },
    /**
     * A hot restart: clients reconnect to the same socket. The period is short, because each of the two
     * processes has only half of the front end's quota while both run.
     */
    HOT_RESTART(400) {
        @Override
        boolean rejectsRequests(double elapsedMs) {
            return false;
        }
    };

    /** Idle connections are closed from this time on; until then clients still open new ones. */
    private static final double FIRST_CLOSE_AFTER_MS = 300;
    /**
     * A connection that is open 4 s after the start of the drain must have carried no request for the last
     * 2 s. Requests are therefore rejected from shortly before 2 s on.
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
     * @param elapsedMs time since the start of the drain
     * @param intervalMs time until the next call
     */
    double closeProbability(double elapsedMs, double intervalMs) {
        double remainingMs = allClosedAfterMs - elapsedMs;
        return intervalMs / Math.max(intervalMs, remainingMs);
    }
}
