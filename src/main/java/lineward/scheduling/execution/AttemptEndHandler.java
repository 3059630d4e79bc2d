package lineward.scheduling.execution;

import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.decision.KeyOrder;
import lineward.scheduling.decision.RetryPolicy;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Handles ended attempts: updates state and estimates, and completes or requeues the request. */
final class AttemptEndHandler {
    private final SchedulerContext context;
    private final OutcomeRecorder outcomeRecorder;
    private final RetryPolicy retries;
    private final KeyOrder keyOrder;
    private final RequestLifecycle lifecycle;
    private final DispatchQueue dispatchQueue;

    AttemptEndHandler(
            SchedulerContext context,
            OutcomeRecorder outcomeRecorder,
            RetryPolicy retries,
            KeyOrder keyOrder,
            RequestLifecycle lifecycle,
            DispatchQueue dispatchQueue) {
        this.context = context;
        this.outcomeRecorder = outcomeRecorder;
        this.retries = retries;
        this.keyOrder = keyOrder;
        this.lifecycle = lifecycle;
        this.dispatchQueue = dispatchQueue;
    }

    /** Handles the end of an attempt. An unknown attempt, or one that has already ended, is ignored. */
    void handle(SchedulerEvent.AttemptEnded end) {
        Attempt attempt = context.findAttemptInFlight(end.requestId(), end.attempt());
        if (attempt == null) {
            return;
        }
        ScheduledRequest request = attempt.request();
        attempt.end();
        request.endAttempt(attempt, end.outcome());
        attempt.engine().endAttempt(attempt);
        outcomeRecorder.recordOutcome(attempt, end);
        if (end.outcome().isIndeterminate()) {
            keyOrder.startSettleTime(request);
        }
        if (!request.state().isCompleted()) {
            completeOrRetry(attempt, end);
        }
        lifecycle.releaseIfDone(request);
    }

    private void completeOrRetry(Attempt attempt, SchedulerEvent.AttemptEnded end) {
        ScheduledRequest request = attempt.request();
        if (end.requestCompleted() || end.outcome() == AttemptOutcome.OK) {
            lifecycle.complete(request);
        } else if (!request.hasAttemptInFlight()) {
            retryOrGiveUp(attempt, end.outcome());
        }
    }

    private void retryOrGiveUp(Attempt attempt, AttemptOutcome outcome) {
        ScheduledRequest request = attempt.request();
        if (retries.mayRetry(request, outcome)) {
            request.requeue(attempt);
            dispatchQueue.add(request);
        } else {
            lifecycle.giveUp(request);
        }
    }
}
