package lineward.scheduling.decision;

import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.DeduplicationScope;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.AttemptState;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RetryBudgetTracker;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/**
 * Decides whether a request may be attempted, retried or relaunched: order, idempotence, attempts, budget.
 */
public final class RetryPolicy {
    /** Errors after which the request itself is taken to be at fault. */
    private static final int MAX_ERRORS_PER_REQUEST = 3;

    private final SchedulerContext context;
    private final KeyOrder keyOrder;
    private final RetryBudgetTracker budget;

    /** Creates a policy for the requests of that scheduler. */
    public RetryPolicy(SchedulerContext context, KeyOrder keyOrder, RetryBudgetTracker budget) {
        this.context = context;
        this.keyOrder = keyOrder;
        this.budget = budget;
    }

    /**
     * Returns whether an attempt of the request at the engine is within all rules that concern the request.
     */
    public boolean mayAttempt(TrackedRequest request, Engine engine) {
        boolean firstAttempt = request.attempts().isEmpty();
        return isOpen(request)
                && keyOrder.isNext(request)
                && mayRepeatAt(request, engine)
                && (firstAttempt || budget.allows(1));
    }

    /**
     * Returns whether the request may have an attempt now: never two at once, none after the final answer or
     * the deadline, and at most as many as permitted.
     */
    private boolean isOpen(TrackedRequest request) {
        return !request.state().isCompleted()
                && !request.hasAttemptInFlight()
                && context.nowMs() < request.deadlineMs()
                && hasAttemptsLeft(request);
    }

    /** Returns whether the request has had fewer attempts than the settings allow. */
    public boolean hasAttemptsLeft(TrackedRequest request) {
        return request.attempts().size() < context.settings().attempts().maxPerRequest();
    }

    /** Returns whether two runs of the request are harmless, on any engines, for some time at least. */
    public boolean mayRunTwice(TrackedRequest request) {
        return request.type().settings().repeatability().isRepeatableAnywhere();
    }

    /**
     * Returns the time within which the next attempt must start: an idempotency key expires, and a
     * non-idempotent request that may have run must not start at all.
     */
    public double startWithinMs(TrackedRequest request) {
        Attempt first = request.firstUnansweredRun();
        if (first == null || request.isIdempotent()) {
            return SchedulerAction.StartAttempt.ANY_TIME;
        }
        return request.isRepeatableByKey() ? keyExpiryMs(request, first) - context.nowMs() : 0;
    }

    private static double keyExpiryMs(TrackedRequest request, Attempt first) {
        return first.startedAtMs() + request.type().settings().repeatability().keyTtlMs();
    }

    private boolean mayRepeat(TrackedRequest request) {
        return startWithinMs(request) > 0;
    }

    private boolean mayRepeatAt(TrackedRequest request, Engine engine) {
        Attempt first = request.firstUnansweredRun();
        if (first == null || request.isIdempotent()) {
            return true;
        }
        DeduplicationScope scope = request.type().settings().repeatability().scope();
        return mayRepeat(request) && scope.covers(first.engine().endpoint(), engine.endpoint());
    }

    /**
     * Returns whether the request may be queued for another attempt after one that ended with this outcome.
     * After NOT_STARTED there is none: the request was complete or its time was up.
     */
    public boolean mayRetry(TrackedRequest request, AttemptOutcome outcome) {
        boolean requestAtFault = request.errors() >= MAX_ERRORS_PER_REQUEST;
        return outcome != AttemptOutcome.NOT_STARTED
                && mayRepeat(request)
                && hasAttemptsLeft(request)
                && !requestAtFault;
    }

    /**
     * Returns whether a relaunch of the attempt in flight would be within the retry budget and its key's
     * time.
     */
    public boolean mayRelaunch(TrackedRequest request) {
        return budget.allows(1 + cancelsInFlight()) && !mayOutliveItsKey(request);
    }

    private long cancelsInFlight() {
        return context.engines().stream()
                .flatMap(engine -> engine.attempts().stream())
                .filter(attempt -> attempt.state() == AttemptState.CANCELLING)
                .count();
    }

    /** Counts from the first attempt, which may turn out to have run, and allows for a silent engine. */
    private boolean mayOutliveItsKey(TrackedRequest request) {
        return request.isRepeatableByKey()
                && context.nowMs() + OutlierDetector.SILENCE_MS
                        > keyExpiryMs(request, request.attempts().get(0));
    }
}
