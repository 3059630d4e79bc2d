package lineward.scheduling.decision;

import lineward.scheduling.RequestClass;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.RequestState;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Decides which attempts may be cancelled, and which are given up because a result would come too late. */
public final class CancellationPolicy {
    /**
     * Grace period after the objective, as a fraction of the class's latency objective, before an attempt is
     * given up whose late answer has no value.
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
        return context.settings().capabilities().cancellation() && attempt.isRunning();
    }

    /** Returns whether no final answer exists and no part of a response has reached the client. */
    public boolean isUnanswered(ScheduledRequest request) {
        return request.state() == RequestState.QUEUED || request.state() == RequestState.IN_FLIGHT;
    }

    /**
     * Returns whether the request of an attempt should be given up. It should if the attempt waits at its
     * engine without any progress and would miss the objective, or if the grace period after the objective
     * is over and a late answer has no value. This includes an attempt that is already being cancelled, so
     * that its request is not relaunched. Always false if the request is not idempotent or the settings do
     * not permit cancellation.
     */
    public boolean shouldGiveUp(Attempt attempt) {
        ScheduledRequest request = attempt.request();
        boolean mayCancel = context.settings().capabilities().cancellation();
        if (!mayCancel || !isUnanswered(request) || !request.isIdempotent()) {
            return false;
        }
        RequestClass.Objective objective = request.requestClass().settings().objective();
        boolean notStarted = attempt.isWaiting() && !attempt.hasProgress();
        double earliestEndMs = context.nowMs() + AdmissionPolicy.requiredRunMs(request);
        boolean waitedTooLong = notStarted && earliestEndMs > request.objectiveEndMs();
        double graceEndMs = request.objectiveEndMs() + OVERDUE_GRACE_RATIO * objective.latencyMs();
        return waitedTooLong || (objective.overdueValueRatio() == 0 && context.nowMs() > graceEndMs);
    }
}
