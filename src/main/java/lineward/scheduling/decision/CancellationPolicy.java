package lineward.scheduling.decision;

import lineward.scheduling.RequestClass;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.RequestState;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Decides which attempts may be cancelled at all, and which runs have no value any more. */
public final class CancellationPolicy {
    /** A run without late value is given up this fraction of its latency objective after the objective. */
    private static final double OVERDUE_GRACE_RATIO = 0.3;

    private final SchedulerContext context;

    /** Creates a policy for the attempts of that scheduler. */
    public CancellationPolicy(SchedulerContext context) {
        this.context = context;
    }

    /** Returns whether the settings allow cancels and the attempt has neither ended nor been cancelled. */
    public boolean mayCancel(Attempt attempt) {
        return context.settings().capabilities().cancel() && attempt.isRunning();
    }

    /** Returns whether the request has neither its final answer nor the start of a response. */
    public boolean isUnanswered(TrackedRequest request) {
        return request.state() == RequestState.QUEUED || request.state() == RequestState.IN_FLIGHT;
    }

    /**
     * Returns whether a run can no longer be answered while its answer has a value. A cancel in flight does
     * not matter: the request is given up instead of being relaunched. Always false for a request that is not
     * idempotent.
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
