package lineward.scheduling.decision;

import java.util.Optional;
import java.util.OptionalDouble;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Selects the engine of an attempt: the eligible one with the lowest load score. */
public final class EngineSelector {
    /** An engine whose health check has been in flight for this long is not selected. */
    private static final double MAX_HEALTH_CHECK_MS = 25;
    /** Score of an engine that must be selected, lower than any other score. */
    private static final double SELECT_FIRST = Double.NEGATIVE_INFINITY;

    /**
     * The number of engines that a request may run on, ejected ones included, and whether ejected ones are
     * used as well because too few are healthy.
     */
    private record EngineSet(int size, boolean useEjected) {}

    private final SchedulerContext context;
    private final ConcurrencyLimits limits;
    private final RetryPolicy retries;
    private final OutlierDetector outliers;
    private final EngineEligibility eligibility;
    private final EngineLoadScore loadScore;

    /** Creates a policy over the given scheduler state. */
    public EngineSelector(
            SchedulerContext context,
            ConcurrencyLimits limits,
            RetryPolicy retries,
            OutlierDetector outliers,
            EngineEligibility eligibility,
            EngineLoadScore loadScore) {
        this.context = context;
        this.limits = limits;
        this.retries = retries;
        this.outliers = outliers;
        this.eligibility = eligibility;
        this.loadScore = loadScore;
    }

    /**
     * Returns the engine for the request's next attempt; empty if none may take it now. If the request
     * exceeds this front end's quota of the fleet, dispatch of its class is paused until the next decision.
     */
    public Optional<Engine> selectEngine(ScheduledRequest request) {
        EngineSet engines = allowedEngines(request);
        boolean withinQuota = limits.withinFleetQuota(
                request, engine -> engines.useEjected() || !engine.health().isEjected());
        request.requestClass().setDispatchPaused(!withinQuota);
        return withinQuota ? leastLoaded(request, engines) : Optional.empty();
    }

    private EngineSet allowedEngines(ScheduledRequest request) {
        int allowedCount = 0;
        int healthyCount = 0;
        for (Engine engine : context.engines()) {
            if (EngineEligibility.mayRunOn(request, engine)) {
                allowedCount++;
                healthyCount += engine.health().isEjected() ? 0 : 1;
            }
        }
        return new EngineSet(allowedCount, outliers.mustUseEjected(healthyCount, allowedCount));
    }

    private Optional<Engine> leastLoaded(ScheduledRequest request, EngineSet engines) {
        Engine best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (Engine engine : context.engines()) {
            boolean probe = outliers.mayProbe(engine, request);
            if (isCandidate(engine, request, probe, engines)) {
                double noise = loadScore.drawNoise(request.requestClass(), engine);
                boolean mustBeSelected = mustBeSelected(engine, probe && !engines.useEjected());
                double score = mustBeSelected ? SELECT_FIRST : loadScore.score(request, engine) - noise;
                if (score < bestScore) {
                    bestScore = score;
                    best = engine;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns whether the next attempt may go to the engine. Unlike the target of a relaunch, the engine may
     * be ejected if a recovery probe is due, and may have been tried if no untried engine is left, but must
     * not have an overdue health check.
     */
    private boolean isCandidate(Engine engine, ScheduledRequest request, boolean probe, EngineSet engines) {
        return isUsable(engine, probe, engines)
                && !isHealthCheckOverdue(engine)
                && !isExcludedAsTried(engine, request, engines)
                && eligibility.hasCapacityNow(request, engine)
                && retries.mayAttempt(request, engine);
    }

    private boolean isUsable(Engine engine, boolean probe, EngineSet engines) {
        boolean usedWhileEjected = engines.useEjected() && outliers.isDueForProbe(engine);
        return !engine.health().isEjected() || probe || usedWhileEjected;
    }

    private static boolean isExcludedAsTried(Engine engine, ScheduledRequest request, EngineSet engines) {
        return request.hasTried(engine) && engines.size() > request.triedEngineCount();
    }

    private boolean isHealthCheckOverdue(Engine engine) {
        OptionalDouble startedMs = engine.load().healthCheckStartedMs();
        return startedMs.isPresent() && context.nowMs() - startedMs.getAsDouble() >= MAX_HEALTH_CHECK_MS;
    }

    /**
     * Returns whether the engine must be selected regardless of its score, because an attempt is needed to
     * show that it has recovered. While it warms up, its score would never be the lowest.
     */
    private static boolean mustBeSelected(Engine engine, boolean probe) {
        boolean awaitsFirstAnswer =
                engine.isAwaitingFirstSuccess() && engine.attemptsInFlight().isEmpty();
        return probe || awaitsFirstAnswer;
    }
}
