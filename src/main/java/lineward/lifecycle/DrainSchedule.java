package lineward.lifecycle;

/**
 * When the connections of a drain close: spread over a period, since clients whose connections all close at
 * once would reconnect elsewhere all at once. Pure decisions; time is passed in.
 */
enum DrainSchedule {
    /** An operator drains this process: its clients go to other front ends. */
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

    /** New connections go on coming this long after the drain's start; from then on idle ones are closed. */
    private static final double FIRST_CLOSE_AFTER_MS = 300;
    /** At 4 s a connection may carry none of the last 2 s: requests are rejected a little before that. */
    private static final double REJECT_AFTER_MS = 1800;

    private final double allClosedAfterMs;

    DrainSchedule(double allClosedAfterMs) {
        this.allClosedAfterMs = allClosedAfterMs;
    }

    /** Returns whether new requests are rejected this long after the drain's start. */
    abstract boolean rejectsRequests(double elapsedMs);

    /** Returns whether idle connections are closed this long after the drain's start. */
    boolean closesConnections(double elapsedMs) {
        return elapsedMs >= FIRST_CLOSE_AFTER_MS;
    }

    /**
     * Returns the probability with which each idle connection is closed now, 1 at the end of the schedule.
     *
     * @param elapsedMs since the drain's start
     * @param intervalMs until connections are chosen again
     */
    double closeProbability(double elapsedMs, double intervalMs) {
        double remainingMs = allClosedAfterMs - elapsedMs;
        return intervalMs / Math.max(intervalMs, remainingMs);
    }
}
