package lineward.discovery;

import java.util.EnumSet;
import java.util.Set;

/**
 * Decides when the configuration file with the address of service discovery is read: on SIGHUP, with retries
 * until a read succeeds, and periodically while the service fails. At most one read is in progress. Times are
 * in milliseconds of a monotonic clock. Used by {@link PollPolicy} only.
 */
final class FileReadSchedule {
    /** Time from the first fault of the service to a read of the file, and interval of further reads. */
    static final double FAULT_READ_INTERVAL_MS = 250;
    /** Retry interval for the first {@link #SHORT_RETRY_PERIOD_MS} after SIGHUP. */
    static final double SHORT_RETRY_INTERVAL_MS = 50;
    /** Time after SIGHUP in which retries use {@link #SHORT_RETRY_INTERVAL_MS}. */
    static final double SHORT_RETRY_PERIOD_MS = 4000;
    /** Retry interval after that time. */
    static final double LONG_RETRY_INTERVAL_MS = 1000;

    /** Whether a read of the file is in progress. */
    enum State {
        /** No read is in progress. */
        IDLE,
        /** A read is in progress. */
        READING,
        /** A read that began before the last SIGHUP is in progress; another read has to follow. */
        READING_STALE;

        /** Returns the states to which a transition is allowed. */
        Set<State> successors() {
            return switch (this) {
                case IDLE -> EnumSet.of(READING);
                case READING -> EnumSet.of(READING_STALE, IDLE);
                case READING_STALE -> EnumSet.of(IDLE);
            };
        }
    }

    private State state = State.IDLE;
    /** {@link PollPolicy#NEVER} if no read is scheduled. */
    private double nextReadAtMs = PollPolicy.NEVER;
    /** Time of the last SIGHUP if no read begun after it has succeeded; else {@link PollPolicy#NEVER}. */
    private double reloadRequestedAtMs = PollPolicy.NEVER;

    /** Returns the current state. */
    State state() {
        return state;
    }

    /** Requests a read, because SIGHUP has announced a new file. */
    void requestReload(double nowMs) {
        reloadRequestedAtMs = nowMs;
        nextReadAtMs = nowMs;
        if (state == State.READING) {
            transitionTo(State.READING_STALE);
        }
    }

    /**
     * Returns whether a read is due.
     *
     * @param failingSinceMs time of the service's first fault; {@link PollPolicy#NEVER} if it is healthy
     */
    boolean isReadDue(double nowMs, double failingSinceMs) {
        // A fault schedules only the first read; the end of each read schedules the next one.
        double faultReadAtMs = failingSinceMs + FAULT_READ_INTERVAL_MS;
        double dueAtMs = nextReadAtMs < PollPolicy.NEVER ? nextReadAtMs : faultReadAtMs;
        return state == State.IDLE && nowMs >= dueAtMs;
    }

    /** Records the start of a read. */
    void beginRead() {
        transitionTo(State.READING);
        nextReadAtMs = PollPolicy.NEVER;
    }

    /** Records that the read has returned an address. */
    void readSucceeded(double nowMs, boolean serviceFailing) {
        if (state != State.READING_STALE) {
            reloadRequestedAtMs = PollPolicy.NEVER;
        }
        endRead(nowMs, serviceFailing);
    }

    /** Records that the read has failed: the file is missing, truncated or invalid. */
    void readFailed(double nowMs, boolean serviceFailing) {
        endRead(nowMs, serviceFailing);
        if (reloadRequestedAtMs < PollPolicy.NEVER) {
            boolean inShortRetryPeriod = nowMs - reloadRequestedAtMs < SHORT_RETRY_PERIOD_MS;
            double retryIntervalMs = inShortRetryPeriod ? SHORT_RETRY_INTERVAL_MS : LONG_RETRY_INTERVAL_MS;
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
            throw new IllegalStateException("invalid file read transition: from=" + state + " to=" + next);
        }
        state = next;
    }
}
