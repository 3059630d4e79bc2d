package lineward.spool;

import java.util.OptionalDouble;

/** Measures how fast bytes are released; the weight of a release halves every second. */
final class ReleaseRate {
    private static final double HALF_LIFE_MS = 1000;

    private double bytesPerMs;
    /** Empty before the first release. */
    private OptionalDouble lastReleaseMs = OptionalDouble.empty();

    /** Bytes have been released. */
    void add(long bytes, double nowMs) {
        double elapsedMs = nowMs - lastReleaseMs.orElse(nowMs);
        double decayed = bytesPerMs * Math.pow(2, -elapsedMs / HALF_LIFE_MS);
        bytesPerMs = decayed + bytes * Math.log(2) / HALF_LIFE_MS;
        lastReleaseMs = OptionalDouble.of(nowMs);
    }

    /** Returns the rate as of the latest release; 0 before the first. */
    double bytesPerMs() {
        return bytesPerMs;
    }
}
