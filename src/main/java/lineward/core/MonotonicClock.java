package lineward.core;

import java.util.function.DoubleSupplier;

/**
 * A clock in milliseconds that never goes back. It returns the Unix time of its creation plus the
 * elapsed time of the monotonic clock, so a later change of the Unix clock has no effect. Thread-safe.
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
