package lineward.discovery;

import java.util.EnumSet;
import java.util.Set;

/**
 * Decides when the configuration file that names the service's address is read: on SIGHUP, again while it
 * can't be read, and while the service fails. At most one read is in progress. Times are milliseconds of a
 * monotonic clock.
 */
final class FileReadSchedule {
    /** How long the service fails before the file is read, and the interval of reads from then on. */
    static final double FAULT_READ_INTERVAL_MS = 250;
    /** Interval of retries in the first seconds after SIGHUP, while the file can't be read. */
    static final double RETRY_INTERVAL_MS = 50;
    /** How long after SIGHUP the short retry interval holds. */
    static final double SHORT_RETRIES_MS = 4000;
    /** Interval of retries after that. */
    static final double LONG_RETRY_INTERVAL_MS = 1000;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    /** Whether the file is being read. */
    enum State {
        /** No read is in progress. */
        IDLE,
        /** A read is in progress. */
        READING,
        /** A read is in progress that began before the last SIGHUP: the file is to be read once more. */
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
    private double nextReadAtMs = NEVER;
    /** When the SIGHUP came whose address has not been read yet; {@link #NEVER}: none is open. */
    private double reloadRequestedAtMs = NEVER;

    /** Returns whether the file is being read. */
    State state() {
        return state;
    }

    /** SIGHUP: the file has been replaced and is to be read. */
    void requestReload(double nowMs) {
        reloadRequestedAtMs = nowMs;
        nextReadAtMs = nowMs;
        if (state == State.READING) {
            transitionTo(State.READING_STALE);
        }
    }

    /**
     * Returns whether a read is to begin; {@code failingSinceMs} is positive infinity for a healthy service.
     */
    boolean isReadDue(double nowMs, double failingSinceMs) {
        // Once a read is scheduled the faults' first one adds nothing: later ones follow from reads that end.
        double dueAtMs = nextReadAtMs < NEVER ? nextReadAtMs : failingSinceMs + FAULT_READ_INTERVAL_MS;
        return state == State.IDLE && nowMs >= dueAtMs;
    }

    /** A read begins. */
    void beginRead() {
        transitionTo(State.READING);
        nextReadAtMs = NEVER;
    }

    /** The read has ended with an address. */
    void readSucceeded(double nowMs, boolean serviceFailing) {
        if (state != State.READING_STALE) {
            reloadRequestedAtMs = NEVER;
        }
        endRead(nowMs, serviceFailing);
    }

    /** The read has ended without an address: the file is missing, cut or not valid. */
    void readFailed(double nowMs, boolean serviceFailing) {
        endRead(nowMs, serviceFailing);
        if (reloadRequestedAtMs < NEVER) {
            boolean shortly = nowMs - reloadRequestedAtMs < SHORT_RETRIES_MS;
            double retryIntervalMs = shortly ? RETRY_INTERVAL_MS : LONG_RETRY_INTERVAL_MS;
            nextReadAtMs = Math.min(nextReadAtMs, nowMs + retryIntervalMs);
        }
    }

    private void endRead(double nowMs, boolean serviceFailing) {
        nextReadAtMs = state == State.READING_STALE ? nowMs : NEVER;
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
