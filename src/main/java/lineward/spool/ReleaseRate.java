package lineward.spool;

/** Measures how fast bytes are released: each release counts half as much one second later. */
final class ReleaseRate {
    private static final double HALF_LIFE_MS = 1000;

    private double bytesPerMs;
    private double updatedMs = Double.NaN;

    void add(long bytes, double nowMs) {
        double elapsedMs = Double.isNaN(updatedMs) ? 0 : nowMs - updatedMs;
        double decayed = bytesPerMs * Math.pow(2, -elapsedMs / HALF_LIFE_MS);
        bytesPerMs = decayed + bytes * Math.log(2) / HALF_LIFE_MS;
        updatedMs = nowMs;
    }

    /** Returns the rate as of the latest release; 0 before the first. */
    double bytesPerMs() {
        return bytesPerMs;
    }
}
