package lineward.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Checks the events and actions of one front end and throws at the first violated rule: a request gets at
 * most one final answer, one attempt at a time and no more attempts than allowed; a non-idempotent one is
 * neither retried nor rejected after it may have run; and retries stay within their budget.
 */
final class RuleChecker {
    private static final class RequestRecord {
        final int classIndex;
        int attempts;
        boolean inFlight;
        boolean mayHaveRun;
        boolean completed;

        RequestRecord(int classIndex) {
            this.classIndex = classIndex;
        }
    }

    private final SchedulerSettings settings;
    private final Map<Long, RequestRecord> requests = new HashMap<>();
    private final Deque<Double> admittedMs = new ArrayDeque<>();
    private final Deque<Double> retriesMs = new ArrayDeque<>();

    RuleChecker(SchedulerSettings settings) {
        this.settings = settings;
    }

    void onEvent(double nowMs, SchedulerEvent event) {
        if (event instanceof SchedulerEvent.RequestArrived arrival) {
            requests.put(arrival.requestId(), new RequestRecord(arrival.requestClass()));
            admittedMs.add(nowMs);
        } else if (event instanceof SchedulerEvent.AttemptEnded ended) {
            RequestRecord request = requests.get(ended.requestId());
            request.inFlight = false;
            request.mayHaveRun |= ended.outcome().mayHaveRun();
            request.completed |= ended.requestCompleted();
        } else if (event instanceof SchedulerEvent.RequestCancelled cancelled) {
            requests.get(cancelled.requestId()).completed = true;
        }
    }

    void onAction(double nowMs, SchedulerAction action) {
        if (action instanceof SchedulerAction.StartAttempt start) {
            checkStart(nowMs, requests.get(start.requestId()));
        } else if (action instanceof SchedulerAction.Reject rejected) {
            RequestRecord request = requests.get(rejected.requestId());
            boolean neverRan = !request.mayHaveRun && !request.inFlight;
            require(!isNonIdempotent(request) || neverRan, "rejected a request that must not run twice");
            checkAnswer(request);
        } else if (action instanceof SchedulerAction.Fail failed) {
            checkAnswer(requests.get(failed.requestId()));
        }
    }

    private void checkStart(double nowMs, RequestRecord request) {
        require(!request.completed, "attempt after the final answer");
        require(!request.inFlight, "two attempts of one request in flight");
        boolean mayRun = !isNonIdempotent(request) || !request.mayHaveRun;
        require(mayRun, "retried a request that must not run twice");
        int maxAttempts = settings.attemptLimits().maxPerRequest();
        require(request.attempts < maxAttempts, "more attempts than allowed");
        if (request.attempts++ > 0 && settings.rules().retryBudget().windowMs() > 0) {
            retriesMs.add(nowMs);
            double windowStartMs = nowMs - settings.rules().retryBudget().windowMs();
            admittedMs.removeIf(atMs -> atMs < windowStartMs);
            retriesMs.removeIf(atMs -> atMs < windowStartMs);
            require(
                    retriesMs.size()
                            <= settings.rules().retryBudget().base()
                                    + settings.rules().retryBudget().perRequest() * admittedMs.size(),
                    "retry budget: " + retriesMs.size() + " retries for " + admittedMs.size() + " requests");
        }
        request.inFlight = true;
    }

    private static void checkAnswer(RequestRecord request) {
        require(!request.completed, "a second final answer");
        request.completed = true;
    }

    private boolean isNonIdempotent(RequestRecord request) {
        RequestClass requestClass = settings.classes().get(request.classIndex);
        return requestClass.repeatability().idempotence() == Idempotence.NON_IDEMPOTENT;
    }

    private static void require(boolean met, String rule) {
        if (!met) {
            throw new AssertionError("violated rule: " + rule);
        }
    }
}
