package lineward.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * Cancels an attempt past its class's tau, the time that minimises the load, so that it is relaunched
 * elsewhere; migrates attempts that wait at a full engine.
 */
final class SpeculativeCancellation {
    /** Ratio of requests never cancelled, so that the tail stays seen; each may cost a whole straggler. */
    private static final double EXEMPT_RATIO = 0.02;
    /** Cancelling must save this ratio of the load at least, else the estimate's noise decides. */
    private static final double MIN_LOAD_SAVED = 0.02;
    /** A progress report older than this many intervals says nothing any more. */
    private static final double PROGRESS_FRESH_INTERVALS = 2.5;
    /** A cancel before tau needs progress that predicts this many relaunches to come: progress is rough. */
    private static final double EARLY_CANCEL_RELAUNCHES = 2;
    /** A relaunch predicted to take this many more stands still: its engine does no work. */
    private static final double STANDSTILL_RELAUNCHES = 4;
    /** Migrations of a request: where two found no capacity, more only send onto engines just back. */
    private static final int MAX_MIGRATIONS = 2;
    /** A recovery probe is given this multiple of its expected time, and this much more. */
    private static final double RECOVERY_PROBE_FACTOR = 2;

    private static final double RECOVERY_PROBE_MARGIN_MS = 300;

    private final SchedulerContext context;
    private final ConcurrencyLimits limits;
    private final RetryPolicy retries;
    private final RetryBudgetTracker budget;
    private final SlowStart slowStart;
    private final RequestLifecycle lifecycle;
    private final List<Attempt> waitingAttempts = new ArrayList<>();

    SpeculativeCancellation(
            SchedulerContext context,
            ConcurrencyLimits limits,
            RetryPolicy retries,
            RetryBudgetTracker budget,
            SlowStart slowStart,
            RequestLifecycle lifecycle) {
        this.context = context;
        this.limits = limits;
        this.retries = retries;
        this.budget = budget;
        this.slowStart = slowStart;
        this.lifecycle = lifecycle;
    }

    /** Draws whether a request is never cancelled. */
    boolean drawExempt() {
        return context.random.nextDouble() < EXEMPT_RATIO;
    }

    /** Recomputes tau: the time with the least load, or none where nothing beats never cancelling. */
    void recomputeTau(ClassState type) {
        ServiceTimeModel model = type.model;
        type.tauRatio = Double.POSITIVE_INFINITY;
        if (!model.hasTypicalRatio()) {
            return;
        }
        SurvivalCurve curve = model.firstRuns();
        double relaunchRatio = model.relaunchRatio(context.nowMs());
        double leastLoad = model.meanRatio() * (1 - MIN_LOAD_SAVED);
        for (int bin = 0; bin < curve.bins(); bin++) {
            double load = curve.areaUpTo(bin) + relaunchRatio * curve.survivalPast(bin);
            if (load < leastLoad && curve.survivalPast(bin) > 0) {
                leastLoad = load;
                type.tauRatio = curve.upperEdge(bin);
            }
        }
        if (!model.hasCurve()) {
            type.tauRatio = withinStragglerBounds(type.tauRatio, model.typicalRatio());
        }
    }

    /** A rare class has no curve of its own for long; few outcomes move tau within bounds. */
    private static double withinStragglerBounds(double tauRatio, double typicalRatio) {
        double upperBound = ServiceTimeModel.STRAGGLER_LOG_RATIO;
        double bounded = Math.max(upperBound / 2, Math.min(upperBound, Math.log(tauRatio / typicalRatio)));
        return typicalRatio * Math.exp(bounded);
    }

    /**
     * Cancels an attempt that is past tau, or stuck at an engine that does no work; returns whether it did.
     */
    boolean cancelIfDue(Attempt attempt) {
        boolean due = mayCancel(attempt) && isDue(attempt);
        if (due) {
            lifecycle.cancel(attempt);
        }
        return due;
    }

    private boolean mayCancel(Attempt attempt) {
        TrackedRequest request = attempt.request;
        return context.settings.capabilities().cancel()
                && !isSettled(attempt)
                && request.type.settings.repeatability().isRepeatableAnywhere()
                && retries.hasAttemptsLeft(request);
    }

    private static boolean isSettled(Attempt attempt) {
        return attempt.request.completed || attempt.request.streaming || attempt.cancelRequested;
    }

    /** The time that an attempt has run is divided by the slowdown that its class shows on all engines. */
    private boolean isDue(Attempt attempt) {
        TrackedRequest request = attempt.request;
        ServiceTimeModel model = request.type.model;
        double relaunchMs = model.relaunchRatio(context.nowMs()) * request.workUnitMs * model.slowdown();
        if (request.deadlineMs - context.nowMs() < relaunchMs) {
            return false;
        }
        if (attempt.engine.ejected && !isRecoveryProbeInTime(attempt)) {
            return hasCapacityElsewhere(attempt);
        }
        // An engine that stands still but reports progress is not silent; its relaunches would never end.
        double standstillMs = STANDSTILL_RELAUNCHES * relaunchMs;
        if (request.relaunched && !attempt.waiting && remainingMs(attempt) > standstillMs) {
            return hasCapacityElsewhere(attempt);
        }
        return isSubjectToTau(attempt) && isPastTau(attempt, relaunchMs) && hasCapacityElsewhere(attempt);
    }

    private boolean isRecoveryProbeInTime(Attempt attempt) {
        double allowedMs = RECOVERY_PROBE_FACTOR * attempt.request.expectedRunMs() + RECOVERY_PROBE_MARGIN_MS;
        return attempt.recoveryProbe && context.nowMs() - attempt.startedAtMs <= allowedMs;
    }

    /** A relaunch runs to its end; before enough outcomes nothing is cancelled. */
    private boolean isSubjectToTau(Attempt attempt) {
        TrackedRequest request = attempt.request;
        if (request.relaunched || request.exemptFromCancellation || attempt.waiting) {
            return false;
        }
        boolean nothingSaved = request.type.model.hasCurve() && Double.isInfinite(request.type.tauRatio);
        return context.fleet.completedRuns() >= ServiceTimeModel.MIN_COMPLETED_RUNS && !nothingSaved;
    }

    /** Theorem 2 for this attempt: one nearly done is spared, a clear straggler need not wait for tau. */
    private boolean isPastTau(Attempt attempt, double relaunchMs) {
        TrackedRequest request = attempt.request;
        double runMs = attempt.runTimeMs(context.nowMs()) / request.type.model.slowdown();
        boolean past = runMs / request.workUnitMs >= request.type.tauRatio;
        if (!hasFreshProgress(attempt)) {
            return past;
        }
        double remainingMs = remainingMs(attempt);
        attempt.cancelledEarly = !past && remainingMs > EARLY_CANCEL_RELAUNCHES * relaunchMs;
        attempt.predictedRunMs = runMs + remainingMs;
        return (past && remainingMs >= relaunchMs) || attempt.cancelledEarly;
    }

    private boolean hasFreshProgress(Attempt attempt) {
        double freshMs = PROGRESS_FRESH_INTERVALS * context.settings.attempts().progressIntervalMs();
        return attempt.progress > 0 && context.nowMs() - attempt.progressAtMs < freshMs;
    }

    /** Returns the time left by the attempt's progress, 0 where that is not known. */
    private double remainingMs(Attempt attempt) {
        if (!hasFreshProgress(attempt)) {
            return 0;
        }
        double runMs = attempt.runTimeMs(attempt.progressAtMs);
        return runMs * (1 - attempt.progress) / attempt.progress;
    }

    /** Notes an attempt that waits at its engine. */
    void recordWaiting(Attempt attempt) {
        waitingAttempts.add(attempt);
    }

    /** Migrates the attempts noted, where another engine has capacity. */
    void migrateWaiting() {
        for (Attempt attempt : waitingAttempts) {
            if (attempt.inFlight && attempt.waiting && mayMigrate(attempt)) {
                attempt.migrating = true;
                lifecycle.cancel(attempt);
            }
        }
        waitingAttempts.clear();
    }

    /** Where all engines are full it would only go round, so the last attempt stays for a relaunch. */
    private boolean mayMigrate(Attempt attempt) {
        TrackedRequest request = attempt.request;
        int attempts = request.attempts.size();
        boolean attemptsLeft = attempts <= MAX_MIGRATIONS
                && attempts < context.settings.attempts().maxPerRequest() - 1;
        boolean inTime = context.nowMs() + request.expectedRunMs() < request.objectiveAtMs;
        return context.settings.capabilities().cancel()
                && request.isIdempotent()
                && !isSettled(attempt)
                && attemptsLeft
                && attempt.progress == 0
                && inTime
                && hasCapacityElsewhere(attempt);
    }

    /**
     * Returns whether another healthy engine could take the relaunch now: else they heap up on busy engines.
     */
    private boolean hasCapacityElsewhere(Attempt attempt) {
        TrackedRequest request = attempt.request;
        if (budget.left() < 1 + cancelsInFlight() || mayOutliveItsKey(request)) {
            return false;
        }
        for (Engine engine : context.engines.values()) {
            if (engine != attempt.engine && isEligible(engine, request)) {
                return true;
            }
        }
        return false;
    }

    private boolean isEligible(Engine engine, TrackedRequest request) {
        return !engine.ejected
                && RetryPolicy.mayRunOn(request, engine)
                && !request.triedEngines.contains(engine)
                && limits.hasCapacity(engine, request)
                && slowStart.allows(request, engine);
    }

    private long cancelsInFlight() {
        return context.engines.values().stream()
                .flatMap(engine -> engine.attempts.stream())
                .filter(attempt -> attempt.cancelRequested)
                .count();
    }

    private boolean mayOutliveItsKey(TrackedRequest request) {
        if (!request.isRepeatableByKey()) {
            return false;
        }
        double keyEndsMs = request.attempts.get(0).startedAtMs
                + request.type.settings.repeatability().keyTtlMs();
        return context.nowMs() + OutlierDetector.SILENCE_MS > keyEndsMs;
    }
}
