package lineward.scheduling.state;

import java.util.OptionalDouble;

/** The last load report of one engine and its health check in flight. */
public final class EngineLoadState {
    private static final double[] NO_REPORT = {};
    private static final double NO_JITTER = 1;

    private double[] values = NO_REPORT;
    private OptionalDouble reportedAtMs = OptionalDouble.empty();
    private OptionalDouble healthCheckStartedMs = OptionalDouble.empty();
    private double limitJitter = NO_JITTER;
    private int threadsSentSinceReport;

    /** Returns when the last report was received; empty before the first one. */
    public OptionalDouble reportedAtMs() {
        return reportedAtMs;
    }

    /** Returns the value at an index of the last report, of which there must be one. */
    public double value(int fieldIndex) {
        return values[fieldIndex];
    }

    /** Returns the random factor that is applied to the engine's concurrency limit until the next report. */
    public double limitJitter() {
        return limitJitter;
    }

    /** Returns the number of threads of the attempts started since the last report. */
    public int threadsSentSinceReport() {
        return threadsSentSinceReport;
    }

    /** Returns when the health check in flight was started; empty if none is in flight. */
    public OptionalDouble healthCheckStartedMs() {
        return healthCheckStartedMs;
    }

    void recordSent(int threads) {
        threadsSentSinceReport += threads;
    }

    double[] values() {
        return values;
    }

    /** Replaces the last report and resets the number of threads sent since. */
    void applyReport(double[] reported, double nowMs, double jitter) {
        values = reported;
        reportedAtMs = OptionalDouble.of(nowMs);
        threadsSentSinceReport = 0;
        limitJitter = jitter;
    }

    /** Records that a health check is in flight. */
    public void startHealthCheck(double nowMs) {
        healthCheckStartedMs = OptionalDouble.of(nowMs);
    }

    /** Records that no health check is in flight. */
    public void endHealthCheck() {
        healthCheckStartedMs = OptionalDouble.empty();
    }
}
