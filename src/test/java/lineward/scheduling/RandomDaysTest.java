package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.EndpointsChanged;
import lineward.scheduling.SchedulerEvent.RequestArrived;
import lineward.scheduling.SchedulerEvent.TimerFired;
import lineward.scheduling.execution.SpeculativeScheduler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Random but legal events under varied settings: the rules hold, and equal events give equal actions. */
public class RandomDaysTest {
    private record Due(double at, int turn, SchedulerEvent event) {}

    private static final class Held {
        int type;
        long key;
        int attempts;
        int out;
        boolean over;
        boolean mayHaveRun;
        double deadline;
        final List<Long> engines = new ArrayList<>();
    }

    private static SchedulerSettings settings(Random random) {
        RequestClass keyed = new RequestClass(
                new RequestClass.Objective(2000, 1, 8000, 2, 0.3),
                new RequestClass.Repeatability(
                        Idempotence.BY_KEY,
                        List.of(DeduplicationScope.values()).get(random.nextInt(3)),
                        1000 /* ms */,
                        false /* in order */),
                new RequestClass.Placement(null, random.nextBoolean() ? List.of(1) : null),
                new RequestClass.Workload(false, true, 2));
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(
                        random.nextBoolean(),
                        random.nextBoolean(),
                        false,
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextBoolean()),
                new SchedulerSettings.AttemptLimits(1 + random.nextInt(5), 500, random.nextInt(3) * 500),
                new SchedulerSettings.MemoryLimits(
                        0.4, List.of(MemoryShortage.values()).get(random.nextInt(3))));
        boolean budget = random.nextBoolean();
        SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(5000, 0.33, 3, 1000),
                300,
                new SchedulerSettings.RetryBudget(budget ? 5000 : 0, 2, 0.1));
        return new SchedulerSettings(
                List.of(Scene.look(), Scene.load(), keyed, Scene.bound(1)),
                List.of(new EngineKind(4, 8000), new EngineKind(8, 0)),
                new SchedulerSettings.FleetPosition(2, 0, 1 + random.nextInt(4), 0),
                limits,
                rules,
                new SchedulerSettings.Reporting(List.of(), false),
                new SchedulerSettings.Discovery(random.nextBoolean(), 5000, true),
                Scene.FREE,
                new SchedulerSettings.Quotas(List.of(), 1));
    }

    private static Endpoint engine(long id, EndpointState condition, double since) {
        return new Endpoint(id, (int) (id % 2), 1, since, condition, (int) (id / 2 % 2), (int) (id / 2 % 2));
    }

    @DataProvider
    public Object[][] rulesHoldCases() {
        return new Object[][] {
            {1L},
            {2L},
            {3L},
            {4L},
            {5L},
            {6L},
            {7L},
            {8L},
            {9L},
            {10L},
            {11L},
            {12L},
            {13L},
            {14L},
            {15L},
            {16L} /* last */
        };
    }

    @Test(dataProvider = "rulesHoldCases")
    public void rulesHold(long seed) {
        String first = day(seed);
        assertThat(first).contains("StartAttempt").isEqualTo(day(seed));
    }

    private static String day(long seed) {
        Random random = new Random(seed);
        SchedulerSettings set = settings(random);
        SpeculativeScheduler control = new SpeculativeScheduler(set, seed);
        PriorityQueue<Due> due =
                new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingInt(Due::turn));
        Map<Long, Held> all = new HashMap<>();
        Map<Long, List<Long>> lines = new HashMap<>();
        Map<Long, Double> rested = new HashMap<>();
        Map<Long, EndpointState> conditions = new HashMap<>();
        List<Double> further = new ArrayList<>();
        List<Double> taken = new ArrayList<>();
        boolean costs = random.nextBoolean();
        int turn = 0;
        List<Endpoint> list = new ArrayList<>();
        for (long id = 1; id <= 6; id++) {
            list.add(engine(id, EndpointState.READY, 0));
        }
        due.add(new Due(1000, turn++, new EndpointsChanged(true, list)));
        for (int i = 1; i <= 600; i++) {
            double at = 1000 + random.nextDouble() * 15000;
            int type = random.nextInt(4);
            due.add(new Due(
                    at,
                    turn++,
                    new RequestArrived(
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
            EndpointState c = List.of(EndpointState.values()).get(random.nextInt(3));
            double at = 1500 + random.nextDouble() * 14000;
            int changed = 1 + random.nextInt(5);
            due.add(new Due(at, turn++, new EndpointsChanged(false, List.of(engine(changed, c, at - 200)))));
        }
        StringBuilder log = new StringBuilder();
        while (!due.isEmpty()) {
            Due next = due.poll();
            double now = next.at();
            if (next.event() instanceof EndpointsChanged change) {
                change.endpoints().forEach(e -> conditions.put(e.engine(), e.state()));
            } else if (next.event() instanceof RequestArrived a) {
                Held h = new Held();
                h.type = a.requestClass();
                h.key = a.key();
                h.deadline = now + a.timeLeftMs();
                all.put(a.request(), h);
                taken.add(now);
                if (h.key != 0) {
                    lines.computeIfAbsent(h.key, k -> new ArrayList<>()).add(a.request());
                }
            } else if (next.event() instanceof AttemptEnded v) {
                Held h = all.get(v.request());
                h.out--;
                h.mayHaveRun |= v.outcome().mayHaveRun();
                h.over |= v.requestCompleted();
                if (List.of(TIMEOUT, RESET, CANCELLED).contains(v.outcome())) {
                    rested.merge(h.key, now + set.rules().settleMs(), Math::max);
                }
            }
            for (SchedulerAction action : control.decide(now, List.of(next.event()))) {
                log.append(now).append(action).append('\n');
                if (action instanceof SchedulerAction.ScheduleTimer a) {
                    due.add(new Due(now + a.delayMs(), turn++, new TimerFired(a.token())));
                } else if (action instanceof SchedulerAction.Reject a) {
                    Held h = all.get(a.request());
                    Idempotence effect =
                            set.classes().get(h.type).repeatability().idempotence();
                    assertThat(h.over).isFalse();
                    RequestClass.Repeatability repeat =
                            set.classes().get(h.type).repeatability();
                    boolean anywhere = repeat.scope() == DeduplicationScope.ALL;
                    boolean byKeyAnywhere = effect == Idempotence.BY_KEY && anywhere;
                    boolean neverRan = !h.mayHaveRun && h.out == 0;
                    assertThat(effect == Idempotence.IDEMPOTENT || neverRan || byKeyAnywhere)
                            .isTrue();
                    h.over = true;
                } else if (action instanceof SchedulerAction.CancelAttempt) {
                    assertThat(set.limits().capabilities().cancel()).isTrue();
                } else if (action instanceof SchedulerAction.Fail a) {
                    assertThat(all.get(a.request()).over).isFalse();
                    all.get(a.request()).over = true;
                } else if (action instanceof SchedulerAction.StartAttempt a) {
                    Held h = all.get(a.request());
                    RequestClass c = set.classes().get(h.type);
                    Endpoint e = engine(a.engine(), EndpointState.READY, 0);
                    assertThat(h.over).isFalse();
                    assertThat(h.out).isZero();
                    assertThat(conditions.get(a.engine())).isEqualTo(EndpointState.READY);
                    assertThat(h.attempts).isLessThan(set.limits().attempts().maxPerRequest());
                    assertThat(c.placement().kinds() == null
                                    || c.placement().kinds().contains(e.kind()))
                            .isTrue();
                    assertThat(c.placement().zones() == null
                                    || c.placement().zones().contains(e.zone()))
                            .isTrue();
                    assertThat(h.mayHaveRun && c.repeatability().idempotence() == Idempotence.NON_IDEMPOTENT)
                            .isFalse();
                    if (h.mayHaveRun
                            && c.repeatability().idempotence() == Idempotence.BY_KEY
                            && c.repeatability().scope() != DeduplicationScope.ALL) {
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
                    if (h.attempts > 0 && set.rules().retryBudget().windowMs() > 0) {
                        further.add(now);
                        double from = now - set.rules().retryBudget().windowMs();
                        assertThat((double)
                                        further.stream().filter(t -> t >= from).count())
                                .isLessThanOrEqualTo(2
                                        + 0.1
                                                * taken.stream()
                                                        .filter(t -> t >= from)
                                                        .count());
                    }
                    AttemptOutcome[] outcomes = {OK, OK, OK, ERROR, REJECTED, CONNECT_FAILED, RESET};
                    AttemptOutcome o = outcomes[random.nextInt(outcomes.length)];
                    double ends = now + 20 + random.nextInt(random.nextInt(8) == 0 ? 8000 : 600);
                    if (ends >= h.deadline) {
                        ends = h.deadline;
                        o = TIMEOUT;
                    }
                    if (o != REJECTED && o != CONNECT_FAILED) {
                        h.engines.add(a.engine());
                    }
                    due.add(new Due(
                            Math.max(now, ends),
                            turn++,
                            new AttemptEnded(a.request(), h.attempts++, o, o == OK, 0, 0, new double[0])));
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
