package lineward.scheduling;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import lineward.scheduling.execution.SpeculativeScheduler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Fleets that can't talk share a cold engine's budget: fronts hear of the start at different moments, some
 * are restarted meanwhile, some see several times the mean of the traffic, attempts fail and are repeated.
 */
public class ColdFleetTest {
    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass(
                    new RequestClass.Objective(500, 2, 2500, 1, 0.1),
                    new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.Workload(false, false, 1)),
            new RequestClass(
                    new RequestClass.Objective(3000, 2.5, 15_000, 12, 0.4),
                    new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.Workload(false, false, 3)));
    private static final double[] WORK = {100, 3000};
    private static final double REPORTS = 0.15;
    private static final double MEAN = (1 - REPORTS) * WORK[0] + REPORTS * WORK[1];
    private static final SchedulerSettings.Rules RULES = new SchedulerSettings.Rules(
            1000,
            new SchedulerSettings.SlowStartRule(15_000, 0.34, 2.5, 1500),
            0,
            new SchedulerSettings.RetryBudget(0, 0, 0));
    private static final EngineKind KIND = new EngineKind(8, 16_000);
    /** Part of the cores at which an engine is at its capacity. */
    private static final double BUSY = 0.85;

    private static final double LOAD = 0.85;
    private static final double START = 100_000;
    private static final double HEARD_BY_MS = 4000;
    private static final int MOST_ENGINES = 40;
    private static final double REPEATS = 0.05;

    /** Counts what went to one cold engine in each window, in requests of mean work. */
    private static final class Budget {
        private final Deque<double[]> sends = new ArrayDeque<>();
        private double used;
        double worst;

        void sent(double age, double work) {
            sends.add(new double[] {age, work / MEAN});
            used += work / MEAN;
            while (sends.peek()[0] <= age - RULES.slowStart().windowMs()) {
                used -= sends.poll()[1];
            }
            double n = allowed(sends.peek()[0]);
            double bound = n + 2 * Math.sqrt(n) + 2;
            worst = Math.max(worst, used / bound);
            if (used > bound) {
                throw new AssertionError("pushed over at " + age + " ms: " + used + " of " + bound);
            }
        }

        /** Returns requests of mean work that it bears in a window that begins at that age. */
        static double allowed(double age) {
            double warm = RULES.slowStart().initialRatio()
                    + (1 - RULES.slowStart().initialRatio())
                            * Math.min(1, age / RULES.slowStart().durationMs());
            return RULES.slowStart().overloadFactor()
                    * KIND.cores()
                    * BUSY
                    * warm
                    * RULES.slowStart().windowMs()
                    / MEAN;
        }
    }

    private record Due(double at, long turn, Runnable task) {}

    /** A fleet on one clock. */
    private static final class Fleet {
        private final int fronts;
        private final SchedulerSettings.Rules rules;
        private final Random random;
        private final PriorityQueue<Due> agenda =
                new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::turn));
        private final int cold;
        private final int engines;
        private final Map<Long, Budget> budgets = new HashMap<>();
        private double now = START;
        private long turns;
        private long ids;
        private int lives;
        int toCold;
        int repeats;

        /** @param rules that each front is told */
        Fleet(int fronts, SchedulerSettings.Rules rules, int seed) {
            this.fronts = fronts;
            this.rules = rules;
            random = new Random(seed * 7919L + fronts);
            engines = Math.max(10, Math.min(MOST_ENGINES, fronts * 2 / 5));
            cold = Math.max(3, engines / 8);
            double perMs = LOAD * engines * KIND.cores() / MEAN;
            double[] weights = random.doubles(fronts, 0.2, 1).toArray();
            for (int i = 0; i < fronts; i += 10) {
                weights[i] *= 5;
            }
            double all = 0;
            for (double weight : weights) {
                all += weight;
            }
            for (int i = 0; i < fronts; i++) {
                new Host(i, perMs * weights[i] / all).begin();
            }
        }

        Fleet play() {
            while (!agenda.isEmpty()
                    && agenda.peek().at < START + RULES.slowStart().durationMs()) {
                Due due = agenda.poll();
                now = due.at;
                due.task.run();
            }
            return this;
        }

        private void in(double ms, Runnable task) {
            agenda.add(new Due(now + ms, turns++, task));
        }

        private List<Endpoint> list(boolean started) {
            List<Endpoint> list = new ArrayList<>();
            for (int id = 1; id <= engines; id++) {
                if (id > cold || started) {
                    list.add(new Endpoint(id, 0, 1, id > cold ? 0 : START, EndpointState.READY, 0, 0));
                }
            }
            return list;
        }

        /** What stands round one module. */
        private final class Host {
            private final int ordinal;
            private final double perMs;
            private final Map<Long, Double> works = new HashMap<>();
            private final Map<Long, Integer> attempts = new HashMap<>();
            /** The attempt of each request that is out. */
            private final Map<Long, Integer> out = new HashMap<>();

            private SpeculativeScheduler module;
            private int life;

            Host(int ordinal, double perMs) {
                this.ordinal = ordinal;
                this.perMs = perMs;
            }

            void begin() {
                live(false);
                in(
                        random.nextDouble() * HEARD_BY_MS,
                        () -> tell(new SchedulerEvent.EndpointsChanged(true, list(true))));
                if (random.nextInt(4) == 0) {
                    in(random.nextDouble() * RULES.slowStart().durationMs(), () -> live(true));
                }
                arrive();
            }

            private void live(boolean started) {
                life = ++lives;
                works.clear();
                attempts.clear();
                out.clear();
                SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                        new SchedulerSettings.Capabilities(true, false, false, true, true, true, false),
                        new SchedulerSettings.AttemptLimits(6, 2000, 0),
                        new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.PAGE));
                module = new SpeculativeScheduler(
                        new SchedulerSettings(
                                CLASSES,
                                List.of(KIND),
                                new SchedulerSettings.FleetPosition(1, 0, fronts, ordinal),
                                limits,
                                rules,
                                new SchedulerSettings.Reporting(List.of(), false),
                                new SchedulerSettings.Discovery(false, 0, false),
                                Scene.FREE,
                                new SchedulerSettings.Quotas(List.of(), 1)),
                        random.nextLong());
                tell(new SchedulerEvent.EndpointsChanged(true, list(started)));
            }

            private void arrive() {
                in(-Math.log(1 - random.nextDouble()) / perMs, () -> {
                    int type = random.nextDouble() < REPORTS ? 1 : 0;
                    double work = WORK[type] * Math.exp(random.nextGaussian() - 0.5);
                    long id = ++ids;
                    works.put(id, work);
                    tell(new SchedulerEvent.RequestArrived(
                            id,
                            type,
                            0,
                            CLASSES.get(type).objective().deadlineMs(),
                            work * Math.exp(0.4 * random.nextGaussian()),
                            100,
                            1,
                            false,
                            0));
                    arrive();
                });
            }

            private void tell(SchedulerEvent event) {
                for (SchedulerAction action : module.decide(now, List.of(event))) {
                    if (action instanceof SchedulerAction.ScheduleTimer after) {
                        mine(after.delayMs(), () -> tell(new SchedulerEvent.TimerFired(after.token())));
                    } else if (action instanceof SchedulerAction.StartAttempt send) {
                        send(send);
                    } else if (action instanceof SchedulerAction.CancelAttempt cancel) {
                        mine(6, () -> ended(cancel.request(), cancel.attempt(), AttemptOutcome.CANCELLED));
                    }
                }
            }

            /** What was due to a module that is no more is passed over. */
            private void mine(double ms, Runnable task) {
                int due = life;
                in(ms, () -> {
                    if (due == life) {
                        task.run();
                    }
                });
            }

            private void send(SchedulerAction.StartAttempt send) {
                double work = works.get(send.request());
                int attempt = attempts.merge(send.request(), 1, Integer::sum) - 1;
                out.put(send.request(), attempt);
                repeats += attempt > 0 ? 1 : 0;
                if (send.engine() <= cold) {
                    toCold++;
                    budgets.computeIfAbsent(send.engine(), id -> new Budget()).sent(now - START, work);
                }
                boolean fails = random.nextDouble() < REPEATS;
                AttemptOutcome outcome = fails
                        ? random.nextBoolean() ? AttemptOutcome.REJECTED : AttemptOutcome.RESET
                        : AttemptOutcome.OK;
                mine(
                        fails ? 5 : work / (work > 1000 ? 3 : 1) * (1 + random.nextDouble()),
                        () -> ended(send.request(), attempt, outcome));
            }

            private void ended(long request, int attempt, AttemptOutcome outcome) {
                if (out.remove(request, attempt)) {
                    tell(new SchedulerEvent.AttemptEnded(
                            request, attempt, outcome, outcome == AttemptOutcome.OK, 0, 0, new double[0]));
                }
            }
        }
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 4}, {3, 4}, {14, 3}, {30, 2}, {100, 1}, {1024, 1}};
    }

    @Test(dataProvider = "fleets")
    public void allFrontsTogetherKeepItsBudget(int fronts, int seeds) {
        int toCold = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            Fleet fleet = new Fleet(fronts, RULES, seed).play();
            assertTrue(fleet.repeats > 0, "attempts are repeated");
            toCold += fleet.toCold;
        }
        assertTrue(toCold > 0, "the cold engines are used");
    }

    /** Fronts that are told of no bound push a cold engine over: the check is sharp enough to see it. */
    @Test
    public void theCheckFindsAFleetThatKeepsNoBudget() {
        SchedulerSettings.Rules none = new SchedulerSettings.Rules(
                RULES.drainGraceMs(),
                new SchedulerSettings.SlowStartRule(
                        RULES.slowStart().durationMs(),
                        RULES.slowStart().initialRatio(),
                        0,
                        RULES.slowStart().windowMs()),
                0,
                new SchedulerSettings.RetryBudget(0, 0, 0));
        assertThrows(AssertionError.class, () -> new Fleet(100, none, 1).play());
    }

    @Test
    public void theCheckFindsOneRequestTooMany() {
        Budget budget = new Budget();
        double n = Budget.allowed(0);
        int most = (int) (n + 2 * Math.sqrt(n) + 2);
        for (int i = 0; i < most; i++) {
            budget.sent(0, MEAN);
        }
        assertThrows(AssertionError.class, () -> budget.sent(1, MEAN));
        Budget later = new Budget();
        for (int i = 0; i < 10 * most; i++) {
            later.sent(i * RULES.slowStart().windowMs() / most * 1.01, MEAN);
        }
        assertFalse(later.worst < 0.9, "close to its bound: " + later.worst);
    }
}
