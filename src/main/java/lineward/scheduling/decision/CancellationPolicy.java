package lineward.scheduling.decision;

import lineward.scheduling.RequestClass;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.RequestState;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Decides which attempts may be cancelled, and which are no longer worth running. */
public final class CancellationPolicy {
    /**
     * Time past the objective, as a fraction of the latency objective, after which a run whose late answer
     * has no value is given up.
     */
    private static final double OVERDUE_GRACE_RATIO = 0.3;

    private final SchedulerContext context;

    /** Creates a policy over the given scheduler state. */
    public CancellationPolicy(SchedulerContext context) {
        this.context = context;
    }

    /**
     * Returns whether the settings permit cancellation and the attempt has neither ended nor been cancelled.
     */
    public boolean mayCancel(Attempt attempt) {
        return context.settings().capabilities().cancel() && attempt.isRunning();
    }

    /** Returns whether the request has neither a final answer nor the beginning of a response. */
    public boolean isUnanswered(TrackedRequest request) {
        return request.state() == RequestState.QUEUED || request.state() == RequestState.IN_FLIGHT;
    }

    /**
     * Returns whether an attempt can no longer be answered while its answer has a value. This includes an
     * attempt that is being cancelled: its request is given up instead of being relaunched. Always false if
     * the request is not idempotent or the settings do not permit cancellation.
     */
    public boolean hasNoValue(Attempt attempt) {
        TrackedRequest request = attempt.request();
        boolean mayCancel = context.settings().capabilities().cancel();
        if (!mayCancel || !isUnanswered(request) || !request.isIdempotent()) {
            return false;
        }
        RequestClass.Objective objective = request.type().settings().objective();
        boolean notStarted = attempt.isWaiting() && !attempt.hasProgress();
        double earliestEndMs = context.nowMs() + AdmissionPolicy.minRunMs(request);
        boolean queuedTooLong = notStarted && earliestEndMs > request.objectiveAtMs();
        double noValueAtMs = request.objectiveAtMs() + OVERDUE_GRACE_RATIO * objective.latencyMs();
        return queuedTooLong || (objective.overdueValueRatio() == 0 && context.nowMs() > noValueAtMs);
    }
}
