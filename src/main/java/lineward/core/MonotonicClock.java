package lineward.core;

import java.util.function.DoubleSupplier;

/**
 * A monotonic clock in milliseconds. It returns the Unix time of its creation plus the time elapsed since
 * then, so later adjustments of the system clock have no effect. Thread-safe.
 */
public final class MonotonicClock implements DoubleSupplier {
    private static final double NANOS_PER_MS = 1e6;
    private final double createdAtUnixMs = System.currentTimeMillis();
    private final long createdAtNanos = System.nanoTime();

    @Override
    public double getAsDouble() {
        return createdAtUnixMs + (System.nanoTime() - createdAtNanos) / NANOS_PER_MS;
    }
}
