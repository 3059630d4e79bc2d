package lineward.scheduling;

/**
 * First runs of all classes together, in units of their estimates: stands in for a class with few of its own.
 */
final class FleetServiceTimes {
    /** Answers of this last while tell the fleet's slowdown: shorter than a fault, some answers long. */
    static final double RECENT_MS = 5_000;

    private final RobustMean typicalLogRatio = ServiceTimeModel.robustMean();
    private final SlidingMedian recentLogSlowdown = new SlidingMedian(RECENT_MS);
    private double completedRuns;
    private double decayedAtMs;
    private double slowdown = 1;

    void add(double ratio) {
        completedRuns++;
        typicalLogRatio.add(Math.log(ratio));
    }

    void addSlowdown(double logRatio, double nowMs) {
        recentLogSlowdown.add(nowMs, logRatio);
    }

    /** Recomputes how much slower than usual the last answers were, whatever engine gave them. */
    void recomputeSlowdown(double nowMs) {
        double median = recentLogSlowdown.median(nowMs, ServiceTimeModel.PRIOR_ANSWERS);
        slowdown = Math.max(1, Math.exp(median));
    }

    void decay(double nowMs) {
        completedRuns *= ServiceTimeModel.ratioKept(nowMs - decayedAtMs);
        decayedAtMs = nowMs;
    }

    double typicalLogRatio() {
        return typicalLogRatio.value();
    }

    double completedRuns() {
        return completedRuns;
    }

    /** Returns how much slower than usual all engines are, at least 1. */
    double slowdown() {
        return slowdown;
    }
}
