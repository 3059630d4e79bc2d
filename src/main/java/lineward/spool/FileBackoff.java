package lineward.spool;

/** Keeps results off the files for a while after a failed write. */
final class FileBackoff {
    static final double PAUSE_MS = 5000;

    private double untilMs = Double.NEGATIVE_INFINITY;

    void writeFailed(double nowMs) {
        untilMs = nowMs + PAUSE_MS;
    }

    boolean hasElapsed(double nowMs) {
        return nowMs >= untilMs;
    }
}
