package lineward.scheduling.estimation;

import java.util.List;
import lineward.scheduling.RequestClass;

/**
 * Run times of one class: the survival curve and the typical run time of first runs, the mean run time of
 * relaunches, the current slowdown, and the bias of the estimates. A ratio is a run time divided by the
 * reference run time of its request, which is the corrected estimate or a default.
 */
public final class ServiceTimeModel {
    /** Number of completed first runs from which the survival curve is used. */
    public static final double MIN_COMPLETED_RUNS = 20;
    /** Number of runs from which the class's own means are used. */
    public static final double MIN_RUNS = 5;
    /** Logarithm of the ratio to the typical run time from which a run is a straggler. */
    public static final double STRAGGLER_LOG_RATIO = 1.5;
    /** Number of prior runs at the typical run time, so that a few slow runs do not count as a slowdown. */
    public static final double PRIOR_RUNS = 5;

    /** Minimum weight of a new value in the typical run time and the biases. */
    private static final double MIN_STEP = 0.02;
    /** Half-life of the measurements: longer than a fault, shorter than a change in traffic. */
    private static final double HALF_LIFE_MS = 60_000;
    /** Number of bins of the curve. The first one starts at 0, the others above a ratio of 1/16. */
    private static final int BINS = 130;

    private static final double LOWEST_BIN_LOG2 = -4;
    private static final double BINS_PER_DOUBLING = 5;
    /** Prior run time of a request, as a fraction of the deadline; it weighs as one request. */
    private static final double PRIOR_RUN_TIME_RATIO = 0.125;

    private static final double PRIOR_WORK_WEIGHT = 1;
    /** Prior weight that avoids a division by zero without changing the mean noticeably. */
    private static final double NEGLIGIBLE_WEIGHT = 1e-9;

    private static final double MIN_RUN_RATIO = 1e-9;

    private final RobustMean workBias = robustMean();
    private final RobustMean memoryBias = robustMean();
    private final RequestClass settings;
    private final FleetServiceTimes fleet;
    private final SurvivalCurve firstRunCurve = new SurvivalCurve(BINS, LOWEST_BIN_LOG2, BINS_PER_DOUBLING);
    private final DecayingMean relaunches = new DecayingMean(HALF_LIFE_MS);
    private final DecayingMean work = new DecayingMean(HALF_LIFE_MS);
    private final SlidingMedian recentLogSlowdown = new SlidingMedian(FleetServiceTimes.SLOWDOWN_WINDOW_MS);
    private final RobustMean typicalLogRatio = robustMean();
    private double completedRuns;
    private double meanFirstRunRatio;
    private double slowdown = 1;
    private double decayedAtMs;

    /** Creates a model without measurements. */
    public ServiceTimeModel(RequestClass settings, FleetServiceTimes fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    /** Creates an empty mean of logarithms of ratios. */
    static RobustMean robustMean() {
        return new RobustMean(STRAGGLER_LOG_RATIO, MIN_STEP);
    }

    /** Returns the decay factor of a measurement that is {@code agoMs} old. */
    public static double decayFactor(double agoMs) {
        return Math.pow(0.5, agoMs / HALF_LIFE_MS);
    }

    /** Returns the typical ratio of first runs; that of all classes if this class has too few runs. */
    public double typicalRatio() {
        return Math.exp(hasTypicalRatio() ? typicalLogRatio.value() : fleet.typicalLogRatio());
    }

    /** Returns whether the class has enough runs for a typical ratio of its own. */
    public boolean hasTypicalRatio() {
        return typicalLogRatio.count() >= MIN_RUNS;
    }

    /** Returns whether the curve is based on enough completed first runs to be used. */
    public boolean hasCurve() {
        return completedRuns >= MIN_COMPLETED_RUNS;
    }

    /** Returns the mean work of a request, including one prior value derived from the deadline. */
    public double meanWorkWithPriorMs(double nowMs) {
        double priorRunMs = settings.objective().deadlineMs() * PRIOR_RUN_TIME_RATIO;
        return work.mean(
                nowMs,
                PRIOR_WORK_WEIGHT,
                priorRunMs * settings.executionProfile().threads());
    }

    /** Returns the mean work of the requests so far, without a prior; 0 before the first one. */
    public double meanWorkMs(double nowMs) {
        return work.mean(nowMs, NEGLIGIBLE_WEIGHT, 0);
    }

    /** Returns the mean ratio of relaunches; that of first runs if there were too few relaunches. */
    public double relaunchRatio(double nowMs) {
        if (relaunches.count(nowMs) >= MIN_RUNS) {
            return relaunches.mean(nowMs, 0, 0);
        }
        return hasCurve() ? meanFirstRunRatio : typicalRatio();
    }

    /** Returns the factor by which the class currently runs slower than typical, at least 1. */
    public double slowdown() {
        return slowdown;
    }

    /** Returns the mean ratio of first runs by the curve. */
    public double meanFirstRunRatio() {
        return meanFirstRunRatio;
    }

    /** Returns the survival curve of first runs. */
    public SurvivalCurve firstRunCurve() {
        return firstRunCurve;
    }

    /** Adds the work of a request. */
    public void addWork(double workMs, double nowMs) {
        work.add(nowMs, workMs);
    }

    /** Adds the ratio of a completed relaunch. */
    public void addRelaunch(double ratio, double nowMs) {
        relaunches.add(nowMs, ratio);
    }

    /** Adds the ratio of a first run; a run that did not complete is censored. */
    public void addFirstRun(double ratio, boolean completed) {
        firstRunCurve.add(ratio, completed);
        completedRuns += completed ? 1 : 0;
    }

    /**
     * Updates the typical ratio with the ratio of a completed first run.
     *
     * @return the logarithm of the run time relative to the typical one, clamped to plus or minus
     *     {@link #STRAGGLER_LOG_RATIO}
     */
    public double updateTypicalRatio(double ratio) {
        return typicalLogRatio.add(Math.log(Math.max(MIN_RUN_RATIO, ratio)));
    }

    /** Adds the logarithm of a run time relative to the typical run time. */
    public void addSlowdown(double logRatio, double nowMs) {
        recentLogSlowdown.add(nowMs, logRatio);
    }

    /**
     * Decays earlier measurements and recomputes the slowdown and the curve.
     *
     * @param runRatios ratios that the first runs in flight have reached; without them a class whose runs are
     *     all slow would show no slowdown until they complete
     */
    public void recompute(double nowMs, List<Double> runRatios) {
        double decayFactor = decayFactor(nowMs - decayedAtMs);
        decayedAtMs = nowMs;
        firstRunCurve.decay(decayFactor);
        completedRuns *= decayFactor;
        double logSlowdown = recentLogSlowdown.median(nowMs, PRIOR_RUNS, slowInFlightLogRatios(runRatios));
        slowdown = Math.max(1, Math.exp(logSlowdown));
        meanFirstRunRatio = firstRunCurve.recompute(
                runRatios.stream().map(ratio -> ratio / slowdown).toList());
    }

    /** Returns the factor by which reported work exceeds its estimate on average. */
    public double workCorrection() {
        return Math.exp(workBias.value());
    }

    /** Adds the logarithm of the ratio of reported work to its estimate. */
    public void addWorkDeviation(double logRatio) {
        workBias.add(logRatio);
    }

    /** Returns the factor by which reported memory exceeds its estimate on average. */
    public double memoryCorrection() {
        return Math.exp(memoryBias.value());
    }

    /**
     * Adds the logarithm of the ratio of reported memory to its estimate.
     *
     * @return its deviation from the previous mean, clamped to plus or minus {@link #STRAGGLER_LOG_RATIO}
     */
    public double addMemoryDeviation(double logRatio) {
        return memoryBias.add(logRatio);
    }

    private List<Double> slowInFlightLogRatios(List<Double> ratios) {
        double typical = typicalRatio();
        return ratios.stream()
                .map(ratio -> Math.min(STRAGGLER_LOG_RATIO, Math.log(ratio / typical)))
                .filter(logRatio -> logRatio > 0)
                .toList();
    }
}
