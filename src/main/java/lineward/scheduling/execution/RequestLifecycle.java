package lineward.scheduling.execution;

import lineward.scheduling.SchedulerAction;
import lineward.scheduling.decision.CancellationPolicy;
import lineward.scheduling.decision.FinalAnswerPolicy;
import lineward.scheduling.decision.KeyOrder;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.CancelCause;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Ends requests: each gets one final answer at most, and its attempts in flight are cancelled. */
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
    void giveUp(TrackedRequest request) {
        context.emit(finalAnswers.finalAnswer(request));
        complete(request);
    }

    /** The request has its final answer, or its client has gone: nothing more is started. */
    void complete(TrackedRequest request) {
        request.complete();
        for (Attempt attempt : request.attempts()) {
            if (cancellation.mayCancel(attempt)) {
                cancel(attempt, CancelCause.REQUEST_COMPLETED);
            }
        }
        releaseIfDone(request);
    }

    /** Cancels an attempt; its end is reported later, as any other's. */
    void cancel(Attempt attempt, CancelCause cause) {
        attempt.cancel(cause);
        context.emit(new SchedulerAction.CancelAttempt(attempt.request().id(), attempt.index()));
    }

    /** Forgets a completed request once nothing of it is in flight. */
    void releaseIfDone(TrackedRequest request) {
        if (request.state().isCompleted() && !request.hasAttemptInFlight()) {
            context.release(request);
            keyOrder.remove(request);
        }
    }
}
