package lineward.scheduling.decision;

import java.util.Arrays;
import java.util.List;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.CancelCause;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.EngineCapacity;
import lineward.scheduling.state.LoadReports;
import lineward.scheduling.state.RetryBudgetTracker;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** The policies of one scheduler, over a state that the test builds and a clock that the test sets. */
final class PolicyFixture {
    static final double START_MS = 100_000;
    /** Default work estimate. The objective is then 1,200 ms and the deadline 5,000 ms after admission. */
    static final double WORK_MS = 200;

    static final long NO_KEY = 0;
    static final double NO_MEMORY_ESTIMATE = 0;
    static final double TIME_LEFT_MS = 5_000;
    /** Threads in flight at which an engine of 8 cores has no capacity left, with a single front end. */
    static final int THREAD_LIMIT = 12;

    private static final long SEED = 7;
    /** Enough runs to outweigh the prior runs at the typical speed. */
    private static final int SLOW_RUN_COUNT = 500;

    final SchedulerContext context;
    final EngineCapacity capacity;
    final RetryBudgetTracker budget;
    final LoadReports reports;
    final SlowStart slowStart;
    final ResourceLimits resources;
    final OutlierDetector outliers;
    final KeyOrder keyOrder;
    final ConcurrencyLimits limits;
    final RetryPolicy retries;
    final EngineEligibility eligibility;
    final CancellationPolicy cancellation;
    final EngineLoadScore loadScore;
    private long lastRequest;

    PolicyFixture(SettingsBuilder settings) {
        context = new SchedulerContext(settings.build(), SEED);
        context.beginDecision(START_MS);
        capacity = new EngineCapacity(context);
        budget = new RetryBudgetTracker(context);
        reports = new LoadReports(context);
        slowStart = new SlowStart(context, capacity);
        resources = new ResourceLimits(context);
        outliers = new OutlierDetector(context);
        keyOrder = new KeyOrder(context);
        limits = new ConcurrencyLimits(context, capacity, reports, resources);
        retries = new RetryPolicy(context, keyOrder, budget);
        eligibility = new EngineEligibility(context, limits, slowStart);
        cancellation = new CancellationPolicy(context);
        loadScore = new EngineLoadScore(context, limits, slowStart, resources, reports, capacity);
    }

    /**
     * Returns one row for each constant: the condition that is violated, and whether the decision is expected
     * to be positive. The first constant stands for no violation, so that only its row expects true.
     */
    static Object[][] rowPerCondition(Enum<?>[] conditions) {
        return Arrays.stream(conditions)
                .map(unmet -> new Object[] {unmet, unmet == conditions[0]})
                .toArray(Object[][]::new);
    }

    void advance(double ms) {
        context.beginDecision(context.nowMs() + ms);
    }

    Engine listEngine(long id) {
        return listEngine(id, 0, 0);
    }

    Engine listEngine(long id, int zone, int cell) {
        return list(new Endpoint(id, 0, 1, Endpoint.STARTED_LONG_AGO, EndpointState.READY, zone, cell));
    }

    Engine listEngineStartedAt(long id, double startedAtMs) {
        return list(new Endpoint(id, 0, 1, startedAtMs, EndpointState.READY, 0, 0));
    }

    Engine listEngine(long id, EndpointState state) {
        return list(new Endpoint(id, 0, 1, Endpoint.STARTED_LONG_AGO, state, 0, 0));
    }

    private Engine list(Endpoint endpoint) {
        context.updateEngine(endpoint);
        context.countReadyCores();
        return context.getOrCreateEngine(endpoint.engine());
    }

    ScheduledRequest admit() {
        return admit(NO_KEY, WORK_MS);
    }

    ScheduledRequest admit(long key, double workMs) {
        return admit(0, key, workMs, NO_MEMORY_ESTIMATE);
    }

    /** Admits a request with a table group of its own. */
    ScheduledRequest admit(int classIndex, long key, double workMs, double memoryMb) {
        lastRequest++;
        return admit(classIndex, key, workMs, memoryMb, (int) lastRequest);
    }

    ScheduledRequest admitWithTableGroup(int classIndex, int tableGroup) {
        lastRequest++;
        return admit(classIndex, NO_KEY, WORK_MS, NO_MEMORY_ESTIMATE, tableGroup);
    }

    private ScheduledRequest admit(int classIndex, long key, double workMs, double memoryMb, int tableGroup) {
        ScheduledRequest request = context.addRequest(
                new SchedulerEvent.RequestArrived(
                        lastRequest, classIndex, key, TIME_LEFT_MS, workMs, memoryMb, tableGroup, false, 0),
                false);
        keyOrder.add(request);
        return request;
    }

    /** Admits a request that is exempt from the speculative timeout. */
    ScheduledRequest admitExempt() {
        lastRequest++;
        return context.addRequest(
                new SchedulerEvent.RequestArrived(
                        lastRequest, 0, NO_KEY, TIME_LEFT_MS, WORK_MS, NO_MEMORY_ESTIMATE, 0, false, 0),
                true);
    }

    Attempt start(ScheduledRequest request, Engine engine) {
        double nowMs = context.nowMs();
        Attempt attempt = new Attempt(request, engine, resources.expectedMemoryMb(request, engine), nowMs);
        if (!request.attempts().isEmpty()) {
            budget.recordRetry();
        }
        request.startAttempt(attempt);
        request.requestClass().recordAttemptStart(nowMs);
        engine.startAttempt(attempt, request.requestClass().slowStartWorkMs(request, nowMs), nowMs);
        return attempt;
    }

    /** Starts attempts on the engine, each for a new request. */
    void startAttempts(Engine engine, int attempts) {
        for (int i = 0; i < attempts; i++) {
            start(admit(), engine);
        }
    }

    void end(Attempt attempt, AttemptOutcome outcome) {
        attempt.end();
        attempt.request().endAttempt(attempt, outcome);
        attempt.engine().endAttempt(attempt);
    }

    /** Ends an attempt and queues its request again, as after an outcome that permits a retry. */
    void endAndRequeue(Attempt attempt, AttemptOutcome outcome) {
        end(attempt, outcome);
        attempt.request().requeue(attempt);
    }

    /** Cancels an attempt as slow and queues its request again, so that the next attempt is a relaunch. */
    void cancelAndRequeue(Attempt attempt) {
        attempt.cancel(CancelCause.SPECULATIVE);
        endAndRequeue(attempt, AttemptOutcome.CANCELLED);
    }

    /** Adds the number of completed runs that the speculative timeout requires. */
    void addCompletedRuns() {
        for (int run = 0; run < ServiceTimeModel.MIN_COMPLETED_RUNS; run++) {
            context.serviceTimes().addCompletedRun(1);
        }
    }

    /** Adds recent runs to all classes, slower than typical by the factor, and recomputes the models. */
    void addSlowRuns(double factor) {
        double nowMs = context.nowMs();
        context.classes().forEach(type -> {
            for (int run = 0; run < SLOW_RUN_COUNT; run++) {
                type.serviceTimeModel().addSlowdown(Math.log(factor), nowMs);
            }
            type.serviceTimeModel().recompute(nowMs, List.of());
        });
    }
}
