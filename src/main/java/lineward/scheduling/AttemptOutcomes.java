package lineward.scheduling;

/**
 * Takes in the ends of attempts: books them, has them learned from, and queues the request again or ends it.
 */
final class AttemptOutcomes {
    private final SchedulerContext context;
    private final OutcomeLearning learning;
    private final RetryPolicy retries;
    private final KeyOrder keyOrder;
    private final RequestLifecycle lifecycle;
    private final AdmissionQueue queue;

    AttemptOutcomes(
            SchedulerContext context,
            OutcomeLearning learning,
            RetryPolicy retries,
            KeyOrder keyOrder,
            RequestLifecycle lifecycle,
            AdmissionQueue queue) {
        this.context = context;
        this.learning = learning;
        this.retries = retries;
        this.keyOrder = keyOrder;
        this.lifecycle = lifecycle;
        this.queue = queue;
    }

    /** Takes in the end of an attempt; of one that is not in flight it is ignored. */
    void end(SchedulerEvent.AttemptEnded end) {
        Attempt attempt = context.attemptInFlight(end.request(), end.attempt());
        if (attempt == null) {
            return;
        }
        TrackedRequest request = attempt.request;
        attempt.inFlight = false;
        request.attemptsInFlight--;
        attempt.engine.remove(attempt);
        learning.learn(attempt, end);
        recordFirstRun(attempt, end.outcome());
        if (!request.completed) {
            if (end.requestCompleted() || end.outcome() == AttemptOutcome.OK) {
                lifecycle.complete(request);
            } else if (request.attemptsInFlight == 0) {
                retryOrGiveUp(attempt, end.outcome());
            }
        }
        lifecycle.releaseIfDone(request);
    }

    private void recordFirstRun(Attempt attempt, AttemptOutcome outcome) {
        TrackedRequest request = attempt.request;
        if (outcome.isIndeterminate()) {
            keyOrder.settle(request);
        }
        boolean mayHaveRun = outcome.mayHaveRun() && outcome != AttemptOutcome.OK;
        if (mayHaveRun && request.firstEngineRunOn == null) {
            request.firstEngineRunOn = attempt.engine;
            request.firstStartedAtMs = attempt.startedAtMs;
        }
    }

    /**
     * Queues the request for another attempt where the policy allows one; else it gets its answer at once.
     */
    private void retryOrGiveUp(Attempt attempt, AttemptOutcome outcome) {
        TrackedRequest request = attempt.request;
        if (!retries.mayRetry(request, outcome)) {
            lifecycle.giveUp(request);
            return;
        }
        request.relaunched |= attempt.isRelaunchedAfterCancel();
        request.triedEngines.add(attempt.engine);
        queue.add(request);
    }
}
