package lineward.scheduling;

import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.SchedulerSettings.Limits;
import lineward.scheduling.SchedulerSettings.Rules;
import lineward.scheduling.execution.SpeculativeScheduler;

/** A scheduler with a simulated clock, which records the scheduler's actions. */
final class TestingScheduler {
    static final SchedulerSettings.MessageCosts NO_COSTS = new SchedulerSettings.MessageCosts(0, 0);

    private static final double TICK_MS = 25;
    private static final long SEED = 7;
    private static final long NO_ENGINE = -1;

    double nowMs = 1000;
    final SpeculativeScheduler scheduler;
    final SchedulerSettings settings;
    /** The actions of the last batch of events, or of all ticks of the last {@link #advance}. */
    final List<SchedulerAction> lastActions = new ArrayList<>();

    final List<SchedulerAction> allActions = new ArrayList<>();

    TestingScheduler(SchedulerSettings settings) {
        this.settings = settings;
        scheduler = new SpeculativeScheduler(settings, SEED);
    }

    /** Short idempotent queries. */
    static RequestClass lookupClass() {
        return new RequestClass(
                new RequestClass.Objective(1000, 1, 5000, 1, 0),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(false, true, 1));
    }

    /** Loads of tables, which are not idempotent; those with the same key run in order of arrival. */
    static RequestClass loadClass() {
        return new RequestClass(
                new RequestClass.Objective(3000, 2, 20000, 3, 0.5),
                new RequestClass.Repeatability(Idempotence.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, true),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(true, false, 2));
    }

    /** Requests with an idempotency key. */
    static RequestClass byKeyClass(DeduplicationScope scope, double keyTtlMs) {
        return new RequestClass(
                new RequestClass.Objective(3000, 2, 20000, 3, 0.5),
                new RequestClass.Repeatability(Idempotence.BY_KEY, scope, keyTtlMs, false),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(false, false, 1));
    }

    /** Requests that may run on one kind of engine only. */
    static RequestClass classOnKind(int kind) {
        return new RequestClass(
                new RequestClass.Objective(2000, 1, 5000, 1, 0),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(List.of(kind), null),
                new RequestClass.ExecutionProfile(false, false, 1));
    }

    static SchedulerSettings.Limits limits(int maxAttempts) {
        return new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(maxAttempts, 500, 0),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.WAIT));
    }

    static SchedulerSettings.Rules rules() {
        return new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(15000, 0.33, 3, 1000),
                500,
                new SchedulerSettings.RetryBudget(0, 0, 0));
    }

    static SchedulerSettings settings(Limits limits, Rules rules, RequestClass... classes) {
        return build(1, limits, rules, classes);
    }

    private static SchedulerSettings build(int fleet, Limits limits, Rules rules, RequestClass... classes) {
        return new SchedulerSettings(
                List.of(classes),
                List.of(new EngineKind(8, 16000), new EngineKind(8, 16000)),
                new SchedulerSettings.FleetPosition(2, 0, fleet, 0),
                limits,
                rules,
                new SchedulerSettings.LoadReporting(List.of(), false),
                new SchedulerSettings.Discovery(false, 0, false),
                NO_COSTS,
                new SchedulerSettings.TenantQuotas(List.of(), 1));
    }

    static SchedulerSettings settings(int frontEnds, RequestClass... classes) {
        return build(frontEnds, limits(4), rules(), classes);
    }

    static SchedulerSettings settings(RequestClass... classes) {
        return settings(limits(4), rules(), classes);
    }

    static Endpoint readyEngine(long id) {
        return new Endpoint(id, 0, 1, 0, EndpointState.READY, 0, (int) (id % 2));
    }

    /** Sends a full snapshot of these engines, all ready. */
    TestingScheduler listEngines(long... ids) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (long id : ids) {
            endpoints.add(readyEngine(id));
        }
        return receive(new SchedulerEvent.EndpointsChanged(true, endpoints));
    }

    /** Sends events as one batch. */
    TestingScheduler receive(SchedulerEvent... events) {
        lastActions.clear();
        lastActions.addAll(scheduler.decide(nowMs, List.of(events)));
        allActions.addAll(lastActions);
        return this;
    }

    /** Advances the clock with a timer event at every tick; the last actions are those of all ticks. */
    TestingScheduler advance(double ms) {
        List<SchedulerAction> tickActions = new ArrayList<>();
        for (double endMs = nowMs + ms; nowMs < endMs; ) {
            nowMs = Math.min(endMs, nowMs + TICK_MS);
            receive(new SchedulerEvent.TimerFired(0));
            tickActions.addAll(lastActions);
        }
        lastActions.clear();
        lastActions.addAll(tickActions);
        return this;
    }

    TestingScheduler requestArrives(long id, int requestClass) {
        return requestArrives(id, requestClass, 0, 200, 5000);
    }

    TestingScheduler requestArrives(long id, int type, long key, double workMs, double timeLeftMs) {
        SchedulerEvent arrival =
                new SchedulerEvent.RequestArrived(id, type, key, timeLeftMs, workMs, 100, (int) id, false, 0);
        return receive(arrival);
    }

    TestingScheduler attemptEnds(long request, int attempt, AttemptOutcome outcome) {
        return receive(new SchedulerEvent.AttemptEnded(
                request, attempt, outcome, outcome == AttemptOutcome.OK, 0, 0, new double[0]));
    }

    <T extends SchedulerAction> List<T> lastActions(Class<T> type) {
        return lastActions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends SchedulerAction> List<T> allActions(Class<T> type) {
        return allActions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    List<SchedulerAction.StartAttempt> lastStarts() {
        return lastActions(SchedulerAction.StartAttempt.class);
    }

    List<SchedulerAction.StartAttempt> allStarts() {
        return allActions(SchedulerAction.StartAttempt.class);
    }

    List<SchedulerAction.CancelAttempt> lastCancels() {
        return lastActions(SchedulerAction.CancelAttempt.class);
    }

    List<SchedulerAction.CancelAttempt> allCancels() {
        return allActions(SchedulerAction.CancelAttempt.class);
    }

    int excludedEngineCount() {
        return scheduler.excludedEngineCount();
    }

    /** Returns the engine of the last attempt that the last actions start; -1 if they start none. */
    long lastStartedEngine() {
        List<SchedulerAction.StartAttempt> starts = lastStarts();
        return starts.isEmpty() ? NO_ENGINE : starts.get(starts.size() - 1).engine();
    }
}
