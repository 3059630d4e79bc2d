package lineward.discovery;

import java.util.EnumSet;
import java.util.Set;

/**
 * Decides when the configuration file with the address of service discovery is read: on SIGHUP, with retries
 * while it can't be read, and repeatedly while the service fails. At most one read is in progress. Times are
 * milliseconds of a monotonic clock. Used by {@link PollPolicy} only.
 */
final class FileReadSchedule {
    /** Time for which the service fails before the file is read, and interval of further reads. */
    static final double FAULT_READ_INTERVAL_MS = 250;
    /** Interval of retries soon after SIGHUP. */
    static final double RETRY_INTERVAL_MS = 50;
    /** Time after SIGHUP in which retries use the short interval. */
    static final double SHORT_RETRIES_MS = 4000;
    /** Interval of later retries. */
    static final double LONG_RETRY_INTERVAL_MS = 1000;

    /** Whether a read of the file is in progress. */
    enum State {
        /** No read is in progress. */
        IDLE,
        /** A read is in progress. */
        READING,
        /** A read is in progress that began before the last SIGHUP: another read has to follow. */
        READING_STALE;

        /** Returns the states that may follow. */
        Set<State> successors() {
            return switch (this) {
                case IDLE -> EnumSet.of(READING);
                case READING -> EnumSet.of(READING_STALE, IDLE);
                case READING_STALE -> EnumSet.of(IDLE);
            };
        }
    }

    private State state = State.IDLE;
    private double nextReadAtMs = PollPolicy.NEVER;
    /** Time of the SIGHUP whose address has not been read yet; {@link PollPolicy#NEVER} if there is none. */
    private double reloadRequestedAtMs = PollPolicy.NEVER;

    /** Returns whether a read is in progress. */
    State state() {
        return state;
    }

    /** SIGHUP: the file has been replaced and has to be read. */
    void requestReload(double nowMs) {
        reloadRequestedAtMs = nowMs;
        nextReadAtMs = nowMs;
        if (state == State.READING) {
            transitionTo(State.READING_STALE);
        }
    }

    /**
     * Returns whether a read has to start.
     *
     * @param failingSinceMs time of the service's first fault; {@link PollPolicy#NEVER} if it is healthy
     */
    boolean isReadDue(double nowMs, double failingSinceMs) {
        // A fault schedules the first read only; each read that ends schedules the next one.
        double faultReadAtMs = failingSinceMs + FAULT_READ_INTERVAL_MS;
        double dueAtMs = nextReadAtMs < PollPolicy.NEVER ? nextReadAtMs : faultReadAtMs;
        return state == State.IDLE && nowMs >= dueAtMs;
    }

    /** A read starts. */
    void beginRead() {
        transitionTo(State.READING);
        nextReadAtMs = PollPolicy.NEVER;
    }

    /** The read has ended with an address. */
    void readSucceeded(double nowMs, boolean serviceFailing) {
        if (state != State.READING_STALE) {
            reloadRequestedAtMs = PollPolicy.NEVER;
        }
        endRead(nowMs, serviceFailing);
    }

    /** The read has failed: the file is missing, truncated or not valid. */
    void readFailed(double nowMs, boolean serviceFailing) {
        endRead(nowMs, serviceFailing);
        if (reloadRequestedAtMs < PollPolicy.NEVER) {
            boolean shortly = nowMs - reloadRequestedAtMs < SHORT_RETRIES_MS;
            double retryIntervalMs = shortly ? RETRY_INTERVAL_MS : LONG_RETRY_INTERVAL_MS;
            nextReadAtMs = Math.min(nextReadAtMs, nowMs + retryIntervalMs);
        }
    }

    private void endRead(double nowMs, boolean serviceFailing) {
        nextReadAtMs = state == State.READING_STALE ? nowMs : PollPolicy.NEVER;
        if (serviceFailing) {
            nextReadAtMs = Math.min(nextReadAtMs, nowMs + FAULT_READ_INTERVAL_MS);
        }
        transitionTo(State.IDLE);
    }

    private void transitionTo(State next) {
        if (!state.successors().contains(next)) {
            throw new IllegalStateException("file read: from " + state + " to " + next);
        }
        state = next;
    }
}
