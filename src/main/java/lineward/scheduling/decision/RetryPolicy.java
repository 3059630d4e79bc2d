package lineward.scheduling.decision;

import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.DeduplicationScope;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.AttemptState;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RetryBudgetTracker;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/**
 * Decides whether a request may be attempted, retried or relaunched, according to key order, idempotence,
 * number of attempts and retry budget.
 */
public final class RetryPolicy {
    /** Number of errors at which the request itself is assumed to be at fault. */
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
     * Returns whether an attempt of the request on the engine is permitted by its state, key order,
     * idempotence and retry budget, regardless of the engine's health and load.
     */
    public boolean mayAttempt(ScheduledRequest request, Engine engine) {
        boolean firstAttempt = request.attempts().isEmpty();
        return isReadyForAttempt(request)
                && keyOrder.isNext(request)
                && mayRepeatAt(request, engine)
                && (firstAttempt || budget.allows(1));
    }

    /**
     * Returns whether the request may have an attempt now: it has no final answer and no attempt in flight,
     * its deadline has not passed, and it has attempts left.
     */
    private boolean isReadyForAttempt(ScheduledRequest request) {
        return !request.state().isCompleted()
                && !request.hasAttemptInFlight()
                && context.nowMs() < request.deadlineMs()
                && hasAttemptsLeft(request);
    }

    /** Returns whether the request has had fewer attempts than the settings allow. */
    public boolean hasAttemptsLeft(ScheduledRequest request) {
        return request.attempts().size() < context.settings().attemptLimits().maxPerRequest();
    }

    /** Returns whether a second run of the request is harmless on any engine, at least for some time. */
    public boolean mayRunTwice(ScheduledRequest request) {
        return request.requestClass().settings().repeatability().isRepeatableAnywhere();
    }

    /**
     * Returns the time within which the next attempt must start; 0 or less if it must not start. The time is
     * limited only for a request that may have run and is not idempotent: to the remaining lifetime of its
     * idempotency key, or to 0 if it has none.
     */
    public double startWithinMs(ScheduledRequest request) {
        Attempt first = request.firstUnsuccessfulRun();
        if (first == null || request.isIdempotent()) {
            return SchedulerAction.StartAttempt.ANY_TIME;
        }
        return request.isIdempotentByKey() ? keyExpiryMs(request, first) - context.nowMs() : 0;
    }

    private static double keyExpiryMs(ScheduledRequest request, Attempt first) {
        return first.startedAtMs()
                + request.requestClass().settings().repeatability().keyTtlMs();
    }

    private boolean mayRepeat(ScheduledRequest request) {
        return startWithinMs(request) > 0;
    }

    private boolean mayRepeatAt(ScheduledRequest request, Engine engine) {
        Attempt first = request.firstUnsuccessfulRun();
        if (first == null || request.isIdempotent()) {
            return true;
        }
        DeduplicationScope scope =
                request.requestClass().settings().repeatability().scope();
        return mayRepeat(request) && scope.covers(first.engine().endpoint(), engine.endpoint());
    }

    /**
     * Returns whether the request may be queued for another attempt after one that ended with this outcome.
     * After NOT_STARTED it may not, as it was complete or its time had run out.
     */
    public boolean mayRetry(ScheduledRequest request, AttemptOutcome outcome) {
        boolean requestAtFault = request.errorCount() >= MAX_ERRORS_PER_REQUEST;
        return outcome != AttemptOutcome.NOT_STARTED
                && mayRepeat(request)
                && hasAttemptsLeft(request)
                && !requestAtFault;
    }

    /**
     * Returns whether a relaunch of the attempt in flight would be within the retry budget, which the
     * relaunches after cancellations in flight will use too, and within the lifetime of the request's key.
     */
    public boolean mayRelaunch(ScheduledRequest request) {
        return budget.allows(1 + cancelsInFlight()) && !mayExceedKeyTtl(request);
    }

    private long cancelsInFlight() {
        return context.engines().stream()
                .flatMap(engine -> engine.attemptsInFlight().stream())
                .filter(attempt -> attempt.state() == AttemptState.CANCELLING)
                .count();
    }

    /**
     * Returns whether a relaunch might start after the key has expired. The lifetime counts from the start of
     * the first attempt, which may turn out to have run; a silent engine may delay the relaunch.
     */
    private boolean mayExceedKeyTtl(ScheduledRequest request) {
        return request.isIdempotentByKey()
                && context.nowMs() + OutlierDetector.MIN_SILENCE_MS
                        > keyExpiryMs(request, request.attempts().get(0));
    }
}
