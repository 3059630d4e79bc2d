package lineward.scheduling.decision;

import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Decides the final answer of a request that is given up. */
public final class FinalAnswerPolicy {
    /**
     * Retry-After as a fraction of the latency objective: short enough that a retry by the client may still
     * meet the objective.
     */
    private static final double RETRY_AFTER_RATIO = 0.25;

    private static final double NO_RETRY_AFTER = 0;

    private final SchedulerContext context;
    private final RetryPolicy retries;

    /** Creates a policy over the given scheduler state. */
    public FinalAnswerPolicy(SchedulerContext context, RetryPolicy retries) {
        this.context = context;
        this.retries = retries;
    }

    /**
     * Returns a rejection, which invites the client to retry, if no attempt can have run or if a second run
     * is harmless; otherwise a failure.
     */
    public SchedulerAction finalAnswer(ScheduledRequest request) {
        boolean neverRan = request.firstUnsuccessfulRun() == null && !request.hasAttemptInFlight();
        return neverRan || retries.mayRunTwice(request)
                ? new SchedulerAction.Reject(request.id(), retryAfterMs(request))
                : new SchedulerAction.Fail(request.id());
    }

    private double retryAfterMs(ScheduledRequest request) {
        SchedulerSettings settings = context.settings();
        if (!settings.capabilities().retryAfter()) {
            return NO_RETRY_AFTER;
        }
        double advisedMs = request.requestClass().settings().objective().latencyMs() * RETRY_AFTER_RATIO;
        return Math.min(settings.attemptLimits().maxRetryAfterMs(), advisedMs);
    }
}
