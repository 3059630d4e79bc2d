package peatwick;

import java.util.ArrayList;
import java.util.List;

/** A small stage for the module: settings to vary, a clock to move, and what it answered. */
final class Scene {
    static final Front.Prices FREE = new Front.Prices(0, 0);
    double now = 1000;
    final Control control;
    final List<Front.Action> last = new ArrayList<>();
    final List<Front.Action> all = new ArrayList<>();

    Scene(Front.Settings settings) {
        control = new Control(settings, 7);
    }

    static Front.RequestClass look() {
        return new Front.RequestClass(
                1000, 1, 5000, 1, 0, Front.Effect.SAFE, Front.Scope.ALL, 0, false, null, null, false, true, 1);
    }

    static Front.RequestClass load() {
        return new Front.RequestClass(
                3000, 2, 20000, 3, 0.5, Front.Effect.UNSAFE, Front.Scope.ALL, 0, true, null, null, true, false, 2);
    }

    static Front.RequestClass keyed(Front.Scope scope, double ttl) {
        return new Front.RequestClass(
                3000, 2, 20000, 3, 0.5, Front.Effect.KEYED, scope, ttl, false, null, null, false, false, 1);
    }

    static Front.RequestClass bound(int kind) {
        return new Front.RequestClass(
                2000,
                1,
                5000,
                1,
                0,
                Front.Effect.SAFE,
                Front.Scope.ALL,
                0,
                false,
                List.of(kind),
                null,
                false,
                false,
                1);
    }

    static Front.Limits limits(int attempts) {
        return new Front.Limits(
                true, true, false, true, 500, attempts, true, true, 0.4, Front.WhenShort.WAIT, 0, false);
    }

    static Front.Rules rules() {
        return new Front.Rules(1000, 15000, 0.33, 3, 1000, 500, 0, 0, 0);
    }

    static Front.Settings settings(Front.Limits limits, Front.Rules rules, Front.RequestClass... classes) {
        return settings(1, limits, rules, classes);
    }

    private static Front.Settings settings(
            int fronts, Front.Limits limits, Front.Rules rules, Front.RequestClass... classes) {
        return new Front.Settings(
                List.of(classes),
                List.of(new Front.Kind(8, 16000), new Front.Kind(8, 16000)),
                2,
                0,
                fronts,
                0,
                limits,
                rules,
                List.of(),
                false,
                false,
                0,
                false,
                Scene.FREE,
                List.of(),
                1);
    }

    static Front.Settings settings(int fronts, Front.RequestClass... classes) {
        return settings(fronts, limits(4), rules(), classes);
    }

    static Front.Settings settings(Front.RequestClass... classes) {
        return settings(limits(4), rules(), classes);
    }

    static Front.Listed engine(long id) {
        return new Front.Listed(id, 0, 1, 0, Front.Condition.READY, 0, (int) (id % 2));
    }

    Scene engines(long... ids) {
        List<Front.Listed> list = new ArrayList<>();
        for (long id : ids) {
            list.add(engine(id));
        }
        return tell(new Front.ListChange(true, list));
    }

    Scene tell(Front.Event... events) {
        last.clear();
        last.addAll(control.decide(now, List.of(events)));
        all.addAll(last);
        return this;
    }

    /** Moves the clock, with a wake every tick, and keeps all that was answered on the way. */
    Scene pass(double ms) {
        List<Front.Action> kept = new ArrayList<>();
        for (double end = now + ms; now < end; ) {
            now = Math.min(end, now + 25);
            tell(new Front.Wake(0));
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
        return tell(new Front.Arrival(id, type, key, left, cost, 100, (int) id, false, 0));
    }

    Scene verdict(long id, int attempt, Front.Outcome outcome) {
        return tell(new Front.Verdict(id, attempt, outcome, outcome == Front.Outcome.OK, 0, 0, new double[0]));
    }

    <T extends Front.Action> List<T> last(Class<T> type) {
        return last.stream().filter(type::isInstance).map(type::cast).toList();
    }

    <T extends Front.Action> List<T> all(Class<T> type) {
        return all.stream().filter(type::isInstance).map(type::cast).toList();
    }

    long sentTo() {
        List<Front.Send> sends = last(Front.Send.class);
        return sends.isEmpty() ? -1 : sends.get(sends.size() - 1).engine();
    }
}
