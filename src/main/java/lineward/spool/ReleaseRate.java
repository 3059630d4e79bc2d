package lineward.spool;

import java.util.OptionalDouble;

/** Rate at which bytes are released: an exponentially weighted average with a half-life of one second. */
final class ReleaseRate {
    private static final double HALF_LIFE_MS = 1000;

    private double bytesPerMs;
    /** Empty before the first release. */
    private OptionalDouble lastReleaseMs = OptionalDouble.empty();

    /** Records released bytes. */
    void add(long bytes, double nowMs) {
        double elapsedMs = nowMs - lastReleaseMs.orElse(nowMs);
        double decayed = bytesPerMs * Math.pow(2, -elapsedMs / HALF_LIFE_MS);
        bytesPerMs = decayed + bytes * Math.log(2) / HALF_LIFE_MS;
        lastReleaseMs = OptionalDouble.of(nowMs);
    }

    /** Returns the rate at the time of the latest release; 0 before the first. */
    double bytesPerMs() {
        return bytesPerMs;
    }
}
