package lineward.core;

import java.util.function.DoubleSupplier;

/**
 * The clock of a front end: Unix milliseconds as they stood at its start, moved on by the monotonic clock, so
 * that it never goes back when the Unix clock is set.
 */
public final class MonotonicClock implements DoubleSupplier {
    private static final double NANOS = 1e6;
    private final double startedAt = System.currentTimeMillis();
    private final long origin = System.nanoTime();

    @Override
    public double getAsDouble() {
        return startedAt + (System.nanoTime() - origin) / NANOS;
    }
}
