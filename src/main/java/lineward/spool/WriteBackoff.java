package lineward.spool;

import java.util.OptionalDouble;

/** Suspends writes for a fixed time after a failed write; new blocks stay in memory meanwhile. */
final class WriteBackoff {
    static final double BACKOFF_MS = 5000;

    /** Empty before the first failed write. */
    private OptionalDouble lastFailureMs = OptionalDouble.empty();

    /** Records a failed write, which starts the backoff. */
    void writeFailed(double nowMs) {
        lastFailureMs = OptionalDouble.of(nowMs);
    }

    /** Returns whether files may be written: no write has failed within the backoff time. */
    boolean hasElapsed(double nowMs) {
        return lastFailureMs.isEmpty() || nowMs >= lastFailureMs.getAsDouble() + BACKOFF_MS;
    }
}
