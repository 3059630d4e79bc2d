package lineward.scheduling;

import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.SchedulerSettings.Limits;
import lineward.scheduling.SchedulerSettings.Rules;
import lineward.scheduling.execution.SpeculativeScheduler;

/** A small stage for the module: settings to vary, a clock to move, and what it answered. */
final class Scene {
    static final SchedulerSettings.Costs FREE = new SchedulerSettings.Costs(0, 0);
    double now = 1000;
    final SpeculativeScheduler control;
    final SchedulerSettings settings;
    final List<SchedulerAction> last = new ArrayList<>();
    final List<SchedulerAction> all = new ArrayList<>();

    Scene(SchedulerSettings settings) {
        this.settings = settings;
        control = new SpeculativeScheduler(settings, 7);
    }

    static RequestClass look() {
        return new RequestClass(
                new RequestClass.Objective(1000, 1, 5000, 1, 0),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.Workload(false, true, 1));
    }

    static RequestClass load() {
        return new RequestClass(
                new RequestClass.Objective(3000, 2, 20000, 3, 0.5),
                new RequestClass.Repeatability(Idempotence.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, true),
                new RequestClass.Placement(null, null),
                new RequestClass.Workload(true, false, 2));
    }

    static RequestClass keyed(DeduplicationScope scope, double ttl) {
        return new RequestClass(
                new RequestClass.Objective(3000, 2, 20000, 3, 0.5),
                new RequestClass.Repeatability(Idempotence.BY_KEY, scope, ttl, false),
                new RequestClass.Placement(null, null),
                new RequestClass.Workload(false, false, 1));
    }

    static RequestClass bound(int kind) {
        return new RequestClass(
                new RequestClass.Objective(2000, 1, 5000, 1, 0),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(List.of(kind), null),
                new RequestClass.Workload(false, false, 1));
    }

    static SchedulerSettings.Limits limits(int attempts) {
        return new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(attempts, 500, 0),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.WAIT));
    }

    static SchedulerSettings.Rules rules() {
        return new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(15000, 0.33, 3, 1000),
                500,
                new SchedulerSettings.RetryBudget(0, 0, 0));
    }

    static SchedulerSettings settings(Limits limits, Rules rules, RequestClass... classes) {
        return settings(1, limits, rules, classes);
    }

    private static SchedulerSettings settings(int fronts, Limits limits, Rules rules, RequestClass... types) {
        return new SchedulerSettings(
                List.of(types),
                List.of(new EngineKind(8, 16000), new EngineKind(8, 16000)),
                new SchedulerSettings.FleetPosition(2, 0, fronts, 0),
                limits,
                rules,
                new SchedulerSettings.Reporting(List.of(), false),
                new SchedulerSettings.Discovery(false, 0, false),
                Scene.FREE,
                new SchedulerSettings.Quotas(List.of(), 1));
    }

    static SchedulerSettings settings(int fronts, RequestClass... classes) {
        return settings(fronts, limits(4), rules(), classes);
    }

    static SchedulerSettings settings(RequestClass... classes) {
        return settings(limits(4), rules(), classes);
    }

    static Endpoint engine(long id) {
        return new Endpoint(id, 0, 1, 0, EndpointState.READY, 0, (int) (id % 2));
    }

    Scene engines(long... ids) {
        List<Endpoint> list = new ArrayList<>();
        for (long id : ids) {
            list.add(engine(id));
        }
        return tell(new SchedulerEvent.EndpointsChanged(true, list));
    }

    Scene tell(SchedulerEvent... events) {
        last.clear();
        last.addAll(control.decide(now, List.of(events)));
        all.addAll(last);
        return this;
    }

    /** Moves the clock, with a wake every tick, and keeps all that was answered on the way. */
    Scene pass(double ms) {
        List<SchedulerAction> kept = new ArrayList<>();
        for (double end = now + ms; now < end; ) {
            now = Math.min(end, now + 25);
            tell(new SchedulerEvent.TimerFired(0));
            kept.addAll(last);
        }
        last.clear();
        last.addAll(kept);
        return this;
    }

    Scene ask(long id, int type) {
        return ask(id, type, 0, 200, 5000);
    }

    Scene ask(long id, int type, long key, double cost, double left) {
        return tell(new SchedulerEvent.RequestArrived(id, type, key, left, cost, 100, (int) id, false, 0));
    }

    Scene verdict(long id, int attempt, AttemptOutcome outcome) {
        return tell(new SchedulerEvent.AttemptEnded(
                id, attempt, outcome, outcome == AttemptOutcome.OK, 0, 0, new double[0]));
    }

    <T extends SchedulerAction> List<T> last(Class<T> type) {
        return last.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends SchedulerAction> List<T> all(Class<T> type) {
        return all.stream().filter(type::isInstance).map(type::cast).toList();
    }

    long sentTo() {
        List<SchedulerAction.StartAttempt> sends = last(SchedulerAction.StartAttempt.class);
        return sends.isEmpty() ? -1 : sends.get(sends.size() - 1).engine();
    }
}
