package lineward.scheduling.estimation;

/**
 * Run times of the first runs of all classes, in units of their estimates. They replace the estimates of a
 * class that has few runs of its own.
 */
public final class FleetServiceTimes {
    /** Window of the slowdown: shorter than a usual fault, long enough for several answers. */
    public static final double RECENT_MS = 5_000;

    private final RobustMean typicalLogRatio = ServiceTimeModel.robustMean();
    private final SlidingMedian recentLogSlowdown = new SlidingMedian(RECENT_MS);
    private double completedRuns;
    private double decayedAtMs;
    private double slowdown = 1;

    /** Adds the run time of a completed first run, in units of its estimate. */
    public void add(double ratio) {
        completedRuns++;
        typicalLogRatio.add(Math.log(ratio));
    }

    /** Adds how much slower than usual a run was, as a logarithm. */
    public void addSlowdown(double logRatio, double nowMs) {
        recentLogSlowdown.add(nowMs, logRatio);
    }

    /** Recomputes how much slower than usual recent answers were, over all engines. */
    public void recomputeSlowdown(double nowMs) {
        double median = recentLogSlowdown.median(nowMs, ServiceTimeModel.PRIOR_ANSWERS);
        slowdown = Math.max(1, Math.exp(median));
    }

    /** Lets the number of completed runs fade. */
    public void decay(double nowMs) {
        completedRuns *= ServiceTimeModel.ratioKept(nowMs - decayedAtMs);
        decayedAtMs = nowMs;
    }

    /** Returns the logarithm of the usual run time in units of the estimate. */
    public double typicalLogRatio() {
        return typicalLogRatio.value();
    }

    /** Returns the decayed number of completed first runs. */
    public double completedRuns() {
        return completedRuns;
    }

    /** Returns how much slower than usual all engines are, at least 1. */
    public double slowdown() {
        return slowdown;
    }
}
