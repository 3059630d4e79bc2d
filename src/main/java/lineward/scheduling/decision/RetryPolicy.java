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
 * Decides whether a request may be attempted, retried or relaunched, by key order, idempotence, number of
 * attempts and retry budget.
 */
public final class RetryPolicy {
    /** Number of errors from which the request itself is taken to be at fault. */
    private static final int MAX_ERRORS_PER_REQUEST = 3;

    private final SchedulerContext context;
    private final KeyOrder keyOrder;
    private final RetryBudgetTracker budget;

    /** Creates a policy over the given scheduler state. */
    public RetryPolicy(SchedulerContext context, KeyOrder keyOrder, RetryBudgetTracker budget) {
        this.context = context;
        this.keyOrder = keyOrder;
        this.budget = budget;
    }

    /**
     * Returns whether an attempt of the request at the engine complies with all rules that concern the
     * request.
     */
    public boolean mayAttempt(TrackedRequest request, Engine engine) {
        boolean firstAttempt = request.attempts().isEmpty();
        return isOpen(request)
                && keyOrder.isNext(request)
                && mayRepeatAt(request, engine)
                && (firstAttempt || budget.allows(1));
    }

    /**
     * Returns whether the request may have an attempt now: it has no final answer and no attempt in flight,
     * its deadline has not passed, and it has attempts left.
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

    /** Returns whether two runs of the request are harmless on any engines, at least for some time. */
    public boolean mayRunTwice(TrackedRequest request) {
        return request.type().settings().repeatability().isRepeatableAnywhere();
    }

    /**
     * Returns the time within which the next attempt must start. An idempotency key expires, and a
     * non-idempotent request that may have run must not start again.
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
     * There is no retry after NOT_STARTED, as the request was complete or its time was up.
     */
    public boolean mayRetry(TrackedRequest request, AttemptOutcome outcome) {
        boolean requestAtFault = request.errors() >= MAX_ERRORS_PER_REQUEST;
        return outcome != AttemptOutcome.NOT_STARTED
                && mayRepeat(request)
                && hasAttemptsLeft(request)
                && !requestAtFault;
    }

    /**
     * Returns whether a relaunch of the attempt in flight would be within the retry budget and the lifetime
     * of the request's key.
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

    /**
     * Returns whether a relaunch might start after the key has expired. The lifetime counts from the first
     * attempt, which may turn out to have run; the relaunch may be delayed by a silent engine.
     */
    private boolean mayOutliveItsKey(TrackedRequest request) {
        return request.isRepeatableByKey()
                && context.nowMs() + OutlierDetector.SILENCE_MS
                        > keyExpiryMs(request, request.attempts().get(0));
    }
}
