package lineward.scheduling.decision;

import java.util.OptionalDouble;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Decides which attempts are cancelled because they are slow, to be relaunched on another engine. */
public final class SpeculativeCancellation {
    /**
     * Fraction of the requests that are exempt from the speculative timeout (tau), so that the survival curve
     * of run times keeps its tail.
     */
    private static final double EXEMPT_RATIO = 0.02;

    private static final double PROGRESS_FRESH_INTERVALS = 2.5;
    /**
     * An attempt is cancelled before tau if its predicted remaining time exceeds this multiple of a relaunch.
     */
    private static final double EARLY_CANCEL_RELAUNCHES = 2;
    /**
     * A relaunch counts as stalled if its predicted remaining time exceeds this multiple of another relaunch.
     */
    private static final double STANDSTILL_RELAUNCHES = 4;
    /** Time that a recovery probe may take, as a multiple of its expected run time, besides a margin. */
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
     * Returns whether the attempt is to be cancelled now: its request may run again, it is past tau or its
     * engine has failed or stalled, and another engine can take the relaunch.
     */
    public boolean shouldCancel(Attempt attempt) {
        return cancellation.mayCancel(attempt)
                && cancellation.isUnanswered(attempt.request())
                && retries.mayRunTwice(attempt.request())
                && retries.hasAttemptsLeft(attempt.request())
                && isDue(attempt)
                && retries.mayRelaunch(attempt.request())
                && eligibility.hasTargetForRelaunch(attempt);
    }

    private boolean isDue(Attempt attempt) {
        double relaunchMs = expectedRelaunchMs(attempt.request());
        if (attempt.request().deadlineMs() - context.nowMs() < relaunchMs) {
            return false;
        }
        boolean engineFails = isOnEjectedEngine(attempt) || isStandingStill(attempt, relaunchMs);
        return engineFails || isPastTau(attempt, relaunchMs);
    }

    /** Returns the expected run time of a relaunch, at the present slowdown of its class on all engines. */
    private double expectedRelaunchMs(TrackedRequest request) {
        ServiceTimeModel model = request.type().model();
        return model.relaunchRatio(context.nowMs()) * request.workUnitMs() * model.slowdown();
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
     * Returns whether a relaunch is stalled. Tau does not apply to a relaunch, but its progress may show that
     * its engine does no work.
     */
    private boolean isStandingStill(Attempt attempt, double relaunchMs) {
        return attempt.request().isRelaunched()
                && !attempt.isWaiting()
                && hasFreshProgress(attempt)
                && attempt.predictedRemainingMs() > STANDSTILL_RELAUNCHES * relaunchMs;
    }

    private boolean isSubjectToTau(Attempt attempt) {
        TrackedRequest request = attempt.request();
        if (request.isRelaunched() || request.isExemptFromCancellation() || attempt.isWaiting()) {
            return false;
        }
        boolean nothingSaved =
                request.type().model().hasCurve() && request.type().tauRatio().isEmpty();
        boolean enoughRuns = context.serviceTimes().completedRuns() >= ServiceTimeModel.MIN_COMPLETED_RUNS;
        return enoughRuns && !nothingSaved;
    }

    /**
     * Returns whether the attempt is past tau. If there is a fresh progress report, an attempt that is nearly
     * done is spared, and one that has far more left than a relaunch would take is due before tau.
     */
    private boolean isPastTau(Attempt attempt, double relaunchMs) {
        if (!isSubjectToTau(attempt)) {
            return false;
        }
        TrackedRequest request = attempt.request();
        double runMs =
                attempt.runTimeMs(context.nowMs()) / request.type().model().slowdown();
        OptionalDouble tauRatio = request.type().tauRatio();
        boolean past = tauRatio.isPresent() && runMs / request.workUnitMs() >= tauRatio.getAsDouble();
        if (!hasFreshProgress(attempt)) {
            return past;
        }
        double remainingMs = attempt.predictedRemainingMs();
        boolean early = !past && remainingMs > EARLY_CANCEL_RELAUNCHES * relaunchMs;
        attempt.recordPrediction(early ? OptionalDouble.of(runMs + remainingMs) : OptionalDouble.empty());
        return early || (past && remainingMs >= relaunchMs);
    }

    private boolean hasFreshProgress(Attempt attempt) {
        double intervalMs = context.settings().attempts().progressIntervalMs();
        return attempt.hasProgressWithin(PROGRESS_FRESH_INTERVALS * intervalMs, context.nowMs());
    }
}
