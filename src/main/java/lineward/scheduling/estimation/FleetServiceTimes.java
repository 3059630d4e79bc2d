package lineward.scheduling.estimation;

/**
 * Run time statistics over the first runs of all classes: the typical run time, which classes with too few
 * runs use instead of their own, the number of completed runs, and the slowdown of the fleet.
 */
public final class FleetServiceTimes {
    /** Window of the slowdown: shorter than a typical fault, long enough for several responses. */
    public static final double SLOWDOWN_WINDOW_MS = 5_000;

    private final RobustMean typicalLogRatio = ServiceTimeModel.robustMean();
    private final SlidingMedian recentLogSlowdown = new SlidingMedian(SLOWDOWN_WINDOW_MS);
    private double completedRuns;
    private double decayedAtMs;
    private double slowdown = 1;

    /** Adds the run time of a completed first run, as a multiple of its reference run time. */
    public void addCompletedRun(double ratio) {
        completedRuns++;
        typicalLogRatio.add(Math.log(ratio));
    }

    /** Adds the logarithm of a run time relative to the typical run time of its class. */
    public void addSlowdown(double logRatio, double nowMs) {
        recentLogSlowdown.add(nowMs, logRatio);
    }

    /** Recomputes the slowdown of recent runs relative to the typical run times of their classes. */
    public void recomputeSlowdown(double nowMs) {
        double median = recentLogSlowdown.median(nowMs, ServiceTimeModel.PRIOR_RUNS);
        slowdown = Math.max(1, Math.exp(median));
    }

    /** Decays the number of completed runs. */
    public void decay(double nowMs) {
        completedRuns *= ServiceTimeModel.decayFactor(nowMs - decayedAtMs);
        decayedAtMs = nowMs;
    }

    /** Returns the logarithm of the typical run time as a multiple of the reference run time. */
    public double typicalLogRatio() {
        return typicalLogRatio.value();
    }

    /** Returns the decayed number of completed first runs. */
    public double completedRuns() {
        return completedRuns;
    }

    /** Returns the factor by which runs on all engines are slower than typical, at least 1. */
    public double slowdown() {
        return slowdown;
    }
}
