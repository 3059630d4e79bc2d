package lineward.scheduling;

import java.util.List;

/**
 * What was measured of one class's run times, all in units of the estimate: the survival curve of first runs,
 * relaunches, how much slower than usual it now runs, and how far its estimates are off.
 */
final class ServiceTimeModel {
    /** First runs before the curve tells a tail from chance. */
    static final double MIN_COMPLETED_RUNS = 20;
    /** Runs before their mean replaces that of others. */
    static final double MIN_RUNS = 5;
    /** An outcome further off the usual (as a logarithm) is a straggler, and no sign of crowding. */
    static final double STRAGGLER_LOG_RATIO = 1.5;
    /** Answers as usual that are assumed beside those seen: a few do not tell slowness from chance. */
    static final double PRIOR_ANSWERS = 5;

    /** How much one outcome moves the usual at least. */
    private static final double MIN_USUAL_STEP = 0.02;
    /** Half-life of what was measured: longer than a fault, shorter than a change of traffic. */
    private static final double HALF_LIFE_MS = 60_000;
    /** Bins of the curve: from a sixteenth up, finer than tau needs to be. */
    private static final int BINS = 130;

    private static final double LOWEST_BIN_LOG2 = -4;
    private static final double BINS_PER_DOUBLING = 5;
    /** Run time assumed at first, as a ratio of the deadline, and the weight of that guess. */
    private static final double FIRST_GUESS_RATIO = 0.125;

    private static final double FIRST_GUESS_WEIGHT = 1;

    /** How far reported work and memory lie off the estimates, as logarithms: both may be off by class. */
    final RobustMean workBias = robustMean();

    final RobustMean memoryBias = robustMean();

    private final RequestClass settings;
    private final FleetServiceTimes fleet;
    private final SurvivalCurve firstRuns = new SurvivalCurve(BINS, LOWEST_BIN_LOG2, BINS_PER_DOUBLING);
    private final DecayingMean relaunches = new DecayingMean(HALF_LIFE_MS);
    private final DecayingMean work = new DecayingMean(HALF_LIFE_MS);
    private final SlidingMedian recentLogSlowdown = new SlidingMedian(FleetServiceTimes.RECENT_MS);
    private final RobustMean typicalLogRatio = robustMean();
    private double completedRuns;
    private double meanRatio;
    private double slowdown = 1;
    private double decayedAtMs;

    ServiceTimeModel(RequestClass settings, FleetServiceTimes fleet) {
        this.settings = settings;
        this.fleet = fleet;
    }

    static RobustMean robustMean() {
        return new RobustMean(STRAGGLER_LOG_RATIO, MIN_USUAL_STEP);
    }

    /** Returns the weight that a measurement of so long ago still has. */
    static double ratioKept(double agoMs) {
        return Math.pow(0.5, agoMs / HALF_LIFE_MS);
    }

    /** Returns the usual run time of a first run. */
    double typicalRatio() {
        return Math.exp(hasTypicalRatio() ? typicalLogRatio.value() : fleet.typicalLogRatio());
    }

    /** Returns whether the class has a usual run time of its own. */
    boolean hasTypicalRatio() {
        return typicalLogRatio.count() >= MIN_RUNS;
    }

    /** Returns whether the curve rests on enough completed first runs. */
    boolean hasCurve() {
        return completedRuns >= MIN_COMPLETED_RUNS;
    }

    /** Returns the mean work of a request; a median may be half of it. */
    double usualWorkMs(double nowMs) {
        double guess = settings.objective().deadlineMs() * FIRST_GUESS_RATIO;
        return work.mean(nowMs, FIRST_GUESS_WEIGHT, guess * settings.workload().threads());
    }

    /** Returns the mean work seen, 0 if none was. */
    double meanWorkMs(double nowMs) {
        return work.mean(nowMs, 1e-9, 0);
    }

    /** Returns the mean run time of a relaunch. */
    double relaunchRatio(double nowMs) {
        if (relaunches.count(nowMs) >= MIN_RUNS) {
            return relaunches.mean(nowMs, 0, 0);
        }
        return hasCurve() ? meanRatio : typicalRatio();
    }

    /** Returns how much slower than usual the class now runs, at least 1. */
    double slowdown() {
        return slowdown;
    }

    double meanRatio() {
        return meanRatio;
    }

    SurvivalCurve firstRuns() {
        return firstRuns;
    }

    void addWork(double workMs, double nowMs) {
        work.add(nowMs, workMs);
    }

    void addRelaunch(double ratio, double nowMs) {
        relaunches.add(nowMs, ratio);
    }

    /** Adds a first run; one that did not complete tells only that it would have taken longer. */
    void addFirstRun(double ratio, boolean completed) {
        firstRuns.add(ratio, completed);
        completedRuns += completed ? 1 : 0;
    }

    /**
     * Adds to the usual run time.
     *
     * @return how much slower than usual this one was, as a logarithm, stragglers cut off
     */
    double addToUsual(double ratio) {
        return typicalLogRatio.add(Math.log(Math.max(1e-9, ratio)));
    }

    void addSlowdown(double logRatio, double nowMs) {
        recentLogSlowdown.add(nowMs, logRatio);
    }

    /**
     * Lets what was measured fade and recomputes the slowdown and the curve.
     *
     * @param inFlight run times so far of the first runs in flight: of a class that crowding holds up,
     *     answers come from the few that it spares
     */
    void recompute(double nowMs, List<Double> inFlight) {
        double kept = ratioKept(nowMs - decayedAtMs);
        decayedAtMs = nowMs;
        firstRuns.decay(kept);
        completedRuns *= kept;
        double logSlowdown = recentLogSlowdown.median(nowMs, PRIOR_ANSWERS, slowInFlight(inFlight));
        slowdown = Math.max(1, Math.exp(logSlowdown));
        meanRatio = firstRuns.recompute(
                inFlight.stream().map(ratio -> ratio / slowdown).toList());
    }

    private List<Double> slowInFlight(List<Double> ratios) {
        double typical = typicalRatio();
        return ratios.stream()
                .map(ratio -> Math.min(STRAGGLER_LOG_RATIO, Math.log(ratio / typical)))
                .filter(logRatio -> logRatio > 0)
                .toList();
    }
}
