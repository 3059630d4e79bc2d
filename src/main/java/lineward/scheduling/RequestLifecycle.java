package lineward.scheduling;

/** Carries out the ends of requests: each gets one final answer at most, and leaves nothing in flight. */
final class RequestLifecycle {
    private final SchedulerContext context;
    private final RetryPolicy retries;
    private final KeyOrder keyOrder;

    RequestLifecycle(SchedulerContext context, RetryPolicy retries, KeyOrder keyOrder) {
        this.context = context;
        this.retries = retries;
        this.keyOrder = keyOrder;
    }

    /** Gives a request its final answer, which is not the engine's. */
    void giveUp(TrackedRequest request) {
        context.emit(retries.finalAnswer(request));
        complete(request);
    }

    /** The client has its answer, or has gone: nothing more is started. */
    void complete(TrackedRequest request) {
        request.completed = true;
        for (Attempt attempt : request.attempts) {
            if (attempt.inFlight
                    && !attempt.cancelRequested
                    && context.settings.capabilities().cancel()) {
                cancel(attempt);
            }
        }
        releaseIfDone(request);
    }

    /** Asks for an attempt to be cancelled; its end is reported as any other's. */
    void cancel(Attempt attempt) {
        attempt.cancelRequested = true;
        context.emit(new SchedulerAction.CancelAttempt(attempt.request.id, attempt.index));
    }

    /** Forgets a completed request once nothing of it is in flight. */
    void releaseIfDone(TrackedRequest request) {
        if (request.completed && request.attemptsInFlight == 0) {
            context.requests.remove(request.id);
            keyOrder.remove(request);
        }
    }
}
