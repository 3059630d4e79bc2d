package lineward.scheduling.decision;

import java.util.OptionalDouble;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Decides which attempts are cancelled because they are slow, to be relaunched on another engine. */
public final class SpeculativeCancellation {
    /**
     * Fraction of the requests that are exempt from the speculative timeout, so that the survival curve of
     * run times keeps its tail.
     */
    private static final double EXEMPT_RATIO = 0.02;

    private static final double PROGRESS_FRESH_INTERVALS = 2.5;
    /**
     * An attempt is cancelled before the speculative timeout if its predicted remaining time exceeds this
     * multiple of the expected run time of a relaunch.
     */
    private static final double EARLY_CANCEL_RELAUNCH_FACTOR = 2;
    /**
     * A relaunch is stalled if its predicted remaining time exceeds this multiple of the expected run time of
     * another relaunch.
     */
    private static final double STALL_RELAUNCH_FACTOR = 4;
    /** A recovery probe may take this multiple of its expected run time plus a margin. */
    private static final double RECOVERY_PROBE_FACTOR = 2;

    private static final double RECOVERY_PROBE_MARGIN_MS = 300;

    private final SchedulerContext context;
    private final CancellationPolicy cancellation;
    private final RetryPolicy retries;
    private final EngineEligibility eligibility;

    /** Creates a policy over the given scheduler state. */
    public SpeculativeCancellation(
            SchedulerContext context,
            CancellationPolicy cancellation,
            RetryPolicy retries,
            EngineEligibility eligibility) {
        this.context = context;
        this.cancellation = cancellation;
        this.retries = retries;
        this.eligibility = eligibility;
    }

    /** Draws whether a request is exempt from the speculative timeout. */
    public boolean drawExempt() {
        return context.drawRandom() < EXEMPT_RATIO;
    }

    /**
     * Returns whether the attempt should be cancelled now: it is too slow, or its engine is ejected or makes
     * no progress; its request may run again; and another engine can take the relaunch.
     */
    public boolean shouldCancel(Attempt attempt) {
        return cancellation.mayCancel(attempt)
                && cancellation.isUnanswered(attempt.request())
                && retries.mayRunTwice(attempt.request())
                && retries.hasAttemptsLeft(attempt.request())
                && needsRelaunch(attempt)
                && retries.mayRelaunch(attempt.request())
                && eligibility.hasTargetForRelaunch(attempt);
    }

    private boolean needsRelaunch(Attempt attempt) {
        double relaunchMs = expectedRelaunchMs(attempt.request());
        if (attempt.request().deadlineMs() - context.nowMs() < relaunchMs) {
            return false;
        }
        boolean engineFails = isOnEjectedEngine(attempt) || isStalled(attempt, relaunchMs);
        return engineFails || isTooSlow(attempt, relaunchMs);
    }

    /** Returns the expected run time of a relaunch at the current slowdown of its class on all engines. */
    private double expectedRelaunchMs(ScheduledRequest request) {
        ServiceTimeModel model = request.requestClass().serviceTimeModel();
        return model.relaunchRatio(context.nowMs()) * request.referenceRunMs() * model.slowdown();
    }

    private boolean isOnEjectedEngine(Attempt attempt) {
        return attempt.engine().health().isEjected() && !isRecoveryProbeInTime(attempt);
    }

    private boolean isRecoveryProbeInTime(Attempt attempt) {
        double expectedMs = attempt.request().expectedRunMs();
        double allowedMs = RECOVERY_PROBE_FACTOR * expectedMs + RECOVERY_PROBE_MARGIN_MS;
        return attempt.isRecoveryProbe() && context.nowMs() - attempt.startedAtMs() <= allowedMs;
    }

    /**
     * Returns whether the attempt is a relaunch that is stalled. The speculative timeout does not apply to a
     * relaunch, but its progress may show that its engine does no work.
     */
    private boolean isStalled(Attempt attempt, double relaunchMs) {
        return attempt.request().isRelaunched()
                && !attempt.isWaiting()
                && hasFreshProgress(attempt)
                && attempt.predictedRemainingMs() > STALL_RELAUNCH_FACTOR * relaunchMs;
    }

    private boolean isSubjectToTimeout(Attempt attempt) {
        ScheduledRequest request = attempt.request();
        if (request.isRelaunched() || request.isExemptFromSpeculativeTimeout() || attempt.isWaiting()) {
            return false;
        }
        boolean noTimeoutSavesLoad = request.requestClass().serviceTimeModel().hasCurve()
                && request.requestClass().speculativeTimeoutRatio().isEmpty();
        boolean enoughRuns = context.serviceTimes().completedRuns() >= ServiceTimeModel.MIN_COMPLETED_RUNS;
        return enoughRuns && !noTimeoutSavesLoad;
    }

    /**
     * Returns whether the attempt is too slow. That is so from the speculative timeout on. With a fresh
     * progress report, however, an attempt that would end before a relaunch is spared, and one that would
     * take far longer than a relaunch is too slow before the timeout; its predicted run time is recorded.
     */
    private boolean isTooSlow(Attempt attempt, double relaunchMs) {
        if (!isSubjectToTimeout(attempt)) {
            return false;
        }
        ScheduledRequest request = attempt.request();
        double runMs = attempt.runTimeMs(context.nowMs())
                / request.requestClass().serviceTimeModel().slowdown();
        OptionalDouble limit = request.requestClass().speculativeTimeoutRatio();
        boolean past = limit.isPresent() && runMs / request.referenceRunMs() >= limit.getAsDouble();
        if (!hasFreshProgress(attempt)) {
            return past;
        }
        double remainingMs = attempt.predictedRemainingMs();
        boolean early = !past && remainingMs > EARLY_CANCEL_RELAUNCH_FACTOR * relaunchMs;
        attempt.setPredictedSlowRun(early ? OptionalDouble.of(runMs + remainingMs) : OptionalDouble.empty());
        return early || (past && remainingMs >= relaunchMs);
    }

    private boolean hasFreshProgress(Attempt attempt) {
        double intervalMs = context.settings().attemptLimits().progressIntervalMs();
        return attempt.hasProgressWithin(PROGRESS_FRESH_INTERVALS * intervalMs, context.nowMs());
    }
}
