package lineward.scheduling.execution;

import lineward.scheduling.SchedulerAction;
import lineward.scheduling.decision.CancellationPolicy;
import lineward.scheduling.decision.FinalAnswerPolicy;
import lineward.scheduling.decision.KeyOrder;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.CancelCause;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Completes requests: emits at most one final answer for each, and cancels its attempts in flight. */
final class RequestLifecycle {
    private final SchedulerContext context;
    private final CancellationPolicy cancellation;
    private final FinalAnswerPolicy finalAnswers;
    private final KeyOrder keyOrder;

    RequestLifecycle(
            SchedulerContext context,
            CancellationPolicy cancellation,
            FinalAnswerPolicy finalAnswers,
            KeyOrder keyOrder) {
        this.context = context;
        this.cancellation = cancellation;
        this.finalAnswers = finalAnswers;
        this.keyOrder = keyOrder;
    }

    /** Gives a request a final answer that does not come from an engine. */
    void giveUp(ScheduledRequest request) {
        context.emit(finalAnswers.finalAnswer(request));
        complete(request);
    }

    /**
     * Completes a request that has its final answer or needs none: no further attempt is started, and those
     * in flight are cancelled if the settings permit it.
     */
    void complete(ScheduledRequest request) {
        request.complete();
        for (Attempt attempt : request.attempts()) {
            if (cancellation.mayCancel(attempt)) {
                cancel(attempt, CancelCause.REQUEST_COMPLETED);
            }
        }
        releaseIfDone(request);
    }

    /** Cancels an attempt. Its end is reported later, like that of any other attempt. */
    void cancel(Attempt attempt, CancelCause cause) {
        attempt.cancel(cause);
        context.emit(new SchedulerAction.CancelAttempt(attempt.request().id(), attempt.index()));
    }

    /** Removes a completed request once it has no attempt in flight. */
    void releaseIfDone(ScheduledRequest request) {
        if (request.state().isCompleted() && !request.hasAttemptInFlight()) {
            context.removeRequest(request);
            keyOrder.remove(request);
        }
    }
}
