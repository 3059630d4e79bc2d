package lineward.scheduling;

/** Says which attempts are within the rules: order, placement, idempotence, attempts and the retry budget. */
final class RetryPolicy {
    /** Advice on when to retry, as a ratio of the objective: the queue has moved on, it may still be met. */
    private static final double RETRY_AFTER_RATIO = 0.25;

    private final SchedulerContext context;
    private final KeyOrder keyOrder;
    private final SlowStart slowStart;
    private final RetryBudgetTracker budget;

    RetryPolicy(SchedulerContext context, KeyOrder keyOrder, SlowStart slowStart, RetryBudgetTracker budget) {
        this.context = context;
        this.keyOrder = keyOrder;
        this.slowStart = slowStart;
        this.budget = budget;
    }

    /** Returns whether an attempt at the engine is within all rules; no attempt starts without this. */
    boolean mayStart(TrackedRequest request, Engine engine) {
        return mayRunOn(request, engine)
                && isOpen(request)
                && keyOrder.isNext(request)
                && isRepeatableAt(request, engine)
                && slowStart.allows(request, engine)
                && (request.attempts.isEmpty() || budget.left() >= 1);
    }

    /** Returns whether the engine takes requests, and those of this class. */
    static boolean mayRunOn(TrackedRequest request, Engine engine) {
        return engine.ready && request.type.settings.placement().allows(engine.endpoint);
    }

    private boolean isOpen(TrackedRequest request) {
        boolean inTime = context.nowMs() < request.deadlineMs;
        return !request.completed && inTime && hasAttemptsLeft(request) && request.attemptsInFlight == 0;
    }

    boolean hasAttemptsLeft(TrackedRequest request) {
        return request.attempts.size() < context.settings.attempts().maxPerRequest();
    }

    /**
     * Returns the time within which an attempt must start: later it might run a second time, unrecognised.
     */
    double startWithinMs(TrackedRequest request) {
        if (request.firstEngineRunOn == null || request.isIdempotent()) {
            return Double.POSITIVE_INFINITY;
        }
        double keyTtlMs = request.type.settings.repeatability().keyTtlMs();
        return request.isRepeatableByKey() ? request.firstStartedAtMs + keyTtlMs - context.nowMs() : 0;
    }

    private boolean isRepeatableAt(TrackedRequest request, Engine engine) {
        Engine first = request.firstEngineRunOn;
        if (first == null || request.isIdempotent()) {
            return true;
        }
        DeduplicationScope scope = request.type.settings.repeatability().scope();
        return startWithinMs(request) > 0 && scope.covers(first.endpoint, engine.endpoint);
    }

    /** Returns whether another attempt is allowed after one that ended with this outcome. */
    boolean mayRetry(TrackedRequest request, AttemptOutcome outcome) {
        return outcome != AttemptOutcome.NOT_STARTED
                && startWithinMs(request) > 0
                && hasAttemptsLeft(request)
                && !OutlierDetector.isUnservable(request);
    }

    /** Returns the final answer of a request that is given up. */
    SchedulerAction finalAnswer(TrackedRequest request) {
        boolean neverRan = request.firstEngineRunOn == null && request.attemptsInFlight == 0;
        boolean retryIsHarmless =
                neverRan || request.type.settings.repeatability().isRepeatableAnywhere();
        return retryIsHarmless
                ? new SchedulerAction.Reject(request.id, retryAfterMs(request))
                : new SchedulerAction.Fail(request.id);
    }

    private double retryAfterMs(TrackedRequest request) {
        if (!context.settings.capabilities().retryAfter()) {
            return 0;
        }
        double advisedMs = request.type.settings.objective().latencyMs() * RETRY_AFTER_RATIO;
        return Math.min(context.settings.attempts().maxRetryAfterMs(), advisedMs);
    }
}
