package lineward.scheduling.execution;

import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.decision.KeyOrder;
import lineward.scheduling.decision.RetryPolicy;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Handles ended attempts: updates state and estimates, and completes or requeues the request. */
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

    /** Handles the end of an attempt. An unknown attempt, or one that has already ended, is ignored. */
    void end(SchedulerEvent.AttemptEnded end) {
        Attempt attempt = context.findAttemptInFlight(end.request(), end.attempt());
        if (attempt == null) {
            return;
        }
        TrackedRequest request = attempt.request();
        attempt.end();
        request.endAttempt(attempt, end.outcome());
        attempt.engine().endAttempt(attempt);
        learning.learn(attempt, end);
        if (end.outcome().isIndeterminate()) {
            keyOrder.settle(request);
        }
        if (!request.state().isCompleted()) {
            completeOrRetry(attempt, end);
        }
        lifecycle.releaseIfDone(request);
    }

    private void completeOrRetry(Attempt attempt, SchedulerEvent.AttemptEnded end) {
        TrackedRequest request = attempt.request();
        if (end.requestCompleted() || end.outcome() == AttemptOutcome.OK) {
            lifecycle.complete(request);
        } else if (!request.hasAttemptInFlight()) {
            retryOrGiveUp(attempt, end.outcome());
        }
    }

    private void retryOrGiveUp(Attempt attempt, AttemptOutcome outcome) {
        TrackedRequest request = attempt.request();
        if (retries.mayRetry(request, outcome)) {
            request.requeue(attempt);
            queue.add(request);
        } else {
            lifecycle.giveUp(request);
        }
    }
}
