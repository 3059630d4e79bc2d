package peatwick;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import peatwick.Front.Effect;
import peatwick.Front.Outcome;

/** Random but legal events under varied settings: the rules hold, and equal events give equal actions. */
class RandomDaysTest {
    private record Due(double at, int turn, Front.Event event) {}

    private static final class Held {
        int type;
        long key;
        int attempts;
        int out;
        boolean over;
        boolean mayHaveRun;
        boolean doubt;
        double deadline;
        double endedAt = Double.NaN;
        final List<Long> engines = new ArrayList<>();
    }

    private static Front.Settings settings(Random random) {
        Front.RequestClass keyed = new Front.RequestClass(
                2000,
                1,
                8000,
                2,
                0.3,
                Effect.KEYED,
                Front.Scope.values()[random.nextInt(3)],
                1000,
                false,
                null,
                random.nextBoolean() ? List.of(1) : null,
                false,
                true,
                2);
        Front.Limits limits = new Front.Limits(
                random.nextBoolean(),
                random.nextBoolean(),
                false,
                random.nextBoolean(),
                500,
                1 + random.nextInt(5),
                random.nextBoolean(),
                random.nextBoolean(),
                0.4,
                Front.WhenShort.values()[random.nextInt(3)],
                random.nextInt(3) * 500,
                random.nextBoolean());
        boolean budget = random.nextBoolean();
        Front.Rules rules = new Front.Rules(1000, 5000, 0.33, 3, 1000, 300, budget ? 5000 : 0, 2, 0.1);
        return new Front.Settings(
                List.of(Scene.look(), Scene.load(), keyed, Scene.bound(1)),
                List.of(new Front.Kind(4, 8000), new Front.Kind(8, 0)),
                2,
                0,
                1 + random.nextInt(4),
                0,
                limits,
                rules,
                List.of(),
                false,
                random.nextBoolean(),
                5000,
                true,
                Scene.FREE,
                List.of(),
                1);
    }

    private static Front.Listed engine(long id, Front.Condition condition, double since) {
        return new Front.Listed(id, (int) (id % 2), 1, since, condition, (int) (id / 2 % 2), (int) (id / 2 % 2));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void rulesHold(long seed) {
        String first = day(seed);
        assertThat(first).contains("Send").isEqualTo(day(seed));
    }

    private static String day(long seed) {
        Random random = new Random(seed);
        Front.Settings set = settings(random);
        Control control = new Control(set, seed);
        PriorityQueue<Due> due = new PriorityQueue<>(
                (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Integer.compare(a.turn(), b.turn()));
        Map<Long, Held> all = new HashMap<>();
        Map<Long, List<Long>> lines = new HashMap<>();
        Map<Long, Double> rested = new HashMap<>();
        Map<Long, Front.Condition> conditions = new HashMap<>();
        List<Double> further = new ArrayList<>();
        List<Double> taken = new ArrayList<>();
        boolean costs = random.nextBoolean();
        int turn = 0;
        List<Front.Listed> list = new ArrayList<>();
        for (long id = 1; id <= 6; id++) {
            list.add(engine(id, Front.Condition.READY, 0));
        }
        due.add(new Due(1000, turn++, new Front.ListChange(true, list)));
        for (int i = 1; i <= 600; i++) {
            double at = 1000 + random.nextDouble() * 15000;
            int type = random.nextInt(4);
            due.add(new Due(
                    at,
                    turn++,
                    new Front.Arrival(
                            i,
                            type,
                            type == 1 ? 1 + random.nextInt(5) : 0,
                            random.nextInt(20) == 0 ? 0 : 1500 + random.nextInt(4000),
                            costs ? 50 + random.nextInt(900) : 0,
                            random.nextInt(1000),
                            random.nextInt(6),
                            false,
                            0)));
        }
        for (int i = 0; i < 30; i++) {
            Front.Condition c = Front.Condition.values()[random.nextInt(3)];
            double at = 1500 + random.nextDouble() * 14000;
            due.add(new Due(
                    at, turn++, new Front.ListChange(false, List.of(engine(1 + random.nextInt(5), c, at - 200)))));
        }
        StringBuilder log = new StringBuilder();
        while (!due.isEmpty()) {
            Due next = due.poll();
            double now = next.at();
            if (next.event() instanceof Front.ListChange change) {
                change.engines().forEach(e -> conditions.put(e.engine(), e.condition()));
            } else if (next.event() instanceof Front.Arrival a) {
                Held h = new Held();
                h.type = a.type();
                h.key = a.key();
                h.deadline = now + a.timeLeft();
                all.put(a.request(), h);
                taken.add(now);
                if (h.key != 0) {
                    lines.computeIfAbsent(h.key, k -> new ArrayList<>()).add(a.request());
                }
            } else if (next.event() instanceof Front.Verdict v) {
                Held h = all.get(v.request());
                h.out--;
                h.mayHaveRun |= v.outcome().mayHaveRun;
                h.over |= v.ended();
                if (List.of(Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED).contains(v.outcome())) {
                    rested.merge(h.key, now + set.rules().settleMs(), Math::max);
                }
            }
            for (Front.Action action : control.decide(now, List.of(next.event()))) {
                log.append(now).append(action).append('\n');
                if (action instanceof Front.After a) {
                    due.add(new Due(now + a.delay(), turn++, new Front.Wake(a.token())));
                } else if (action instanceof Front.Refuse a) {
                    Held h = all.get(a.request());
                    Effect effect = set.classes().get(h.type).effect();
                    assertThat(h.over).isFalse();
                    assertThat(effect == Effect.SAFE
                                    || !h.mayHaveRun && h.out == 0
                                    || effect == Effect.KEYED
                                            && set.classes().get(h.type).scope() == Front.Scope.ALL)
                            .isTrue();
                    h.over = true;
                } else if (action instanceof Front.Cancel) {
                    assertThat(set.limits().cancel()).isTrue();
                } else if (action instanceof Front.Fail a) {
                    assertThat(all.get(a.request()).over).isFalse();
                    all.get(a.request()).over = true;
                } else if (action instanceof Front.Send a) {
                    Held h = all.get(a.request());
                    Front.RequestClass c = set.classes().get(h.type);
                    Front.Listed e = engine(a.engine(), Front.Condition.READY, 0);
                    assertThat(h.over).isFalse();
                    assertThat(h.out).isZero();
                    assertThat(conditions.get(a.engine())).isEqualTo(Front.Condition.READY);
                    assertThat(h.attempts).isLessThan(set.limits().maxAttempts());
                    assertThat(c.onlyKinds() == null || c.onlyKinds().contains(e.kind()))
                            .isTrue();
                    assertThat(c.onlyZones() == null || c.onlyZones().contains(e.zone()))
                            .isTrue();
                    assertThat(h.mayHaveRun && c.effect() == Effect.UNSAFE).isFalse();
                    if (h.mayHaveRun && c.effect() == Effect.KEYED && c.scope() != Front.Scope.ALL) {
                        assertThat(h.engines).allMatch(x -> x / 2 % 2 == a.engine() / 2 % 2);
                    }
                    if (h.key != 0) {
                        for (long before : lines.get(h.key)) {
                            if (before == a.request()) {
                                break;
                            }
                            assertThat(all.get(before).over && all.get(before).out == 0)
                                    .isTrue();
                        }
                        assertThat(h.attempts > 0 || now >= rested.getOrDefault(h.key, 0.0))
                                .isTrue();
                    }
                    if (h.attempts > 0 && set.rules().extraWindow() > 0) {
                        further.add(now);
                        double from = now - set.rules().extraWindow();
                        assertThat((double)
                                        further.stream().filter(t -> t >= from).count())
                                .isLessThanOrEqualTo(2
                                        + 0.1
                                                * taken.stream()
                                                        .filter(t -> t >= from)
                                                        .count());
                    }
                    Outcome[] outcomes = {
                        Outcome.OK,
                        Outcome.OK,
                        Outcome.OK,
                        Outcome.ERROR,
                        Outcome.FULL,
                        Outcome.CONNECT_FAILED,
                        Outcome.RESET
                    };
                    Outcome o = outcomes[random.nextInt(outcomes.length)];
                    double ends = now + 20 + random.nextInt(random.nextInt(8) == 0 ? 8000 : 600);
                    if (ends >= h.deadline) {
                        ends = h.deadline;
                        o = Outcome.TIMEOUT;
                    }
                    if (o != Outcome.FULL && o != Outcome.CONNECT_FAILED) {
                        h.engines.add(a.engine());
                    }
                    due.add(new Due(
                            Math.max(now, ends),
                            turn++,
                            new Front.Verdict(a.request(), h.attempts++, o, o == Outcome.OK, 0, 0, new double[0])));
                    h.out++;
                }
            }
            for (Held h : all.values()) {
                assertThat(h.over || now <= h.deadline + 20)
                        .as("an answer in time")
                        .isTrue();
            }
        }
        assertThat(all.values()).allMatch(h -> h.over && h.out == 0);
        return log.toString();
    }
}
