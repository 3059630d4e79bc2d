package lineward.scheduling;

/** Ranks queued requests, and says which of them, and which attempts, are given up. */
final class AdmissionPolicy {
    /** Margin before the deadline within which a queued request gets its final answer. */
    private static final double ANSWER_MARGIN_MS = 60;
    /** Ratio of the expected run time that must fit before the objective: estimates scatter. */
    private static final double MIN_FIT_RATIO = 0.8;
    /** Slowdown counted at most when that fit is judged. */
    private static final double MAX_FIT_SLOWDOWN = 2;
    /** Ratio of the objective past which a run is given up where a late answer is worth nothing. */
    private static final double OVERDUE_GRACE_RATIO = 0.3;
    /** How much a request's rank grows until its objective. */
    private static final double URGENCY = 2;
    /** Rank of a relaunch against others. */
    private static final double RELAUNCH_FACTOR = 2;

    private final SchedulerContext context;

    AdmissionPolicy(SchedulerContext context) {
        this.context = context;
    }

    /** Returns the value per work, more as the slack goes; what is late counts by its late value only. */
    double priority(TrackedRequest request) {
        RequestClass.Objective objective = request.type.settings.objective();
        double slowedRunMs = request.expectedRunMs() * request.type.model.slowdown();
        boolean overdue = request.objectiveAtMs - context.nowMs() - slowedRunMs < 0;
        double value = objective.priorityWeight() * (overdue ? objective.overdueValueRatio() : 1);
        double urgency = overdue ? 1 : urgency(request);
        double relaunch = request.relaunched ? RELAUNCH_FACTOR : 1;
        return value * urgency * relaunch / Math.max(1, request.expectedWorkMs());
    }

    private double urgency(TrackedRequest request) {
        double waitedMs = context.nowMs() - request.admittedAtMs;
        return 1 + URGENCY * waitedMs / Math.max(1, request.objectiveAtMs - request.admittedAtMs);
    }

    /** Returns whether a request can't be answered while its answer is worth something. */
    boolean cannotBeInTime(TrackedRequest request) {
        if (context.nowMs() > request.deadlineMs - ANSWER_MARGIN_MS) {
            return true;
        }
        double slowdown = Math.min(request.type.model.slowdown(), MAX_FIT_SLOWDOWN);
        double endMs = context.nowMs() + MIN_FIT_RATIO * request.expectedRunMs() * slowdown;
        boolean hasOverdueValue = request.type.settings.objective().overdueValueRatio() > 0;
        return endMs > (hasOverdueValue ? request.deadlineMs : request.objectiveAtMs);
    }

    /** Returns whether a run can earn nothing any more: it takes the capacity of those that can. */
    boolean hasNoValue(Attempt attempt) {
        TrackedRequest request = attempt.request;
        boolean pending = !request.completed && !request.streaming;
        if (!pending
                || !request.isIdempotent()
                || !context.settings.capabilities().cancel()) {
            return false;
        }
        RequestClass.Objective objective = request.type.settings.objective();
        boolean notStarted = attempt.waiting && attempt.progress == 0;
        double fitMs = MIN_FIT_RATIO * request.expectedRunMs();
        boolean queuedTooLong = notStarted && context.nowMs() + fitMs > request.objectiveAtMs;
        double noValueAtMs = request.objectiveAtMs + OVERDUE_GRACE_RATIO * objective.latencyMs();
        return queuedTooLong || (objective.overdueValueRatio() == 0 && context.nowMs() > noValueAtMs);
    }
}
