package lineward.scheduling.decision;

import lineward.scheduling.RequestClass;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Orders queued requests and decides which of them can no longer be answered in time. */
public final class AdmissionPolicy {
    /** A queued request is given up this long before its deadline, however short its expected run time. */
    private static final double ANSWER_MARGIN_MS = 60;
    /**
     * Fraction of the expected run time that must fit before the objective, or before the deadline if a late
     * answer has a value; below 1 because estimates are inexact.
     */
    private static final double REQUIRED_RUN_RATIO = 0.8;
    /** Maximum slowdown that is assumed in that check. */
    private static final double MAX_ASSUMED_SLOWDOWN = 2;
    /** The urgency factor rises from 1 at admission to 1 plus this value at the objective. */
    private static final double URGENCY_GROWTH = 2;

    private static final double RELAUNCH_PRIORITY_FACTOR = 2;
    private static final double MIN_WORK_MS = 1;

    private final SchedulerContext context;

    /** Creates a policy over the given scheduler state. */
    public AdmissionPolicy(SchedulerContext context) {
        this.context = context;
    }

    /**
     * Returns the dispatch priority of a queued request: its value per millisecond of expected work, higher
     * for a relaunch. It rises with the waiting time until the request can no longer meet its objective; from
     * then on only the value of a late answer counts.
     */
    public double dispatchPriority(ScheduledRequest request) {
        RequestClass.Objective objective = request.requestClass().settings().objective();
        double slowedRunMs = request.expectedRunMs()
                * request.requestClass().serviceTimeModel().slowdown();
        boolean overdue = request.objectiveEndMs() - context.nowMs() - slowedRunMs < 0;
        double value = objective.priorityWeight() * (overdue ? objective.overdueValueRatio() : 1);
        double urgency = overdue ? 1 : urgency(request);
        double relaunchFactor = request.isRelaunched() ? RELAUNCH_PRIORITY_FACTOR : 1;
        return value * urgency * relaunchFactor / Math.max(MIN_WORK_MS, request.expectedWorkMs());
    }

    private double urgency(ScheduledRequest request) {
        double waitedMs = context.nowMs() - request.admittedAtMs();
        return 1 + URGENCY_GROWTH * waitedMs / Math.max(1, request.objectiveEndMs() - request.admittedAtMs());
    }

    /** Returns whether a queued request can no longer be answered while its answer has a value. */
    public boolean cannotBeInTime(ScheduledRequest request) {
        if (context.nowMs() > request.deadlineMs() - ANSWER_MARGIN_MS) {
            return true;
        }
        double factor = Math.min(request.requestClass().serviceTimeModel().slowdown(), MAX_ASSUMED_SLOWDOWN);
        double endMs = context.nowMs() + requiredRunMs(request) * factor;
        boolean hasOverdueValue = request.requestClass().settings().objective().overdueValueRatio() > 0;
        return endMs > (hasOverdueValue ? request.deadlineMs() : request.objectiveEndMs());
    }

    /** Returns the part of the expected run time that must fit into the remaining time. */
    static double requiredRunMs(ScheduledRequest request) {
        return REQUIRED_RUN_RATIO * request.expectedRunMs();
    }
}
