package lineward.spool;

import java.util.OptionalDouble;

/** Keeps new blocks in memory for some time after a failed write. */
final class FileBackoff {
    static final double BACKOFF_MS = 5000;

    /** Empty before the first failed write. */
    private OptionalDouble lastFailureMs = OptionalDouble.empty();

    /** A write has failed. */
    void writeFailed(double nowMs) {
        lastFailureMs = OptionalDouble.of(nowMs);
    }

    /** Returns whether files may be written: no write failed within the backoff. */
    boolean hasElapsed(double nowMs) {
        return lastFailureMs.isEmpty() || nowMs >= lastFailureMs.getAsDouble() + BACKOFF_MS;
    }
}
