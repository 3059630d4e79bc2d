package lineward.scheduling;

import static lineward.scheduling.TestingScheduler.NO_COSTS;
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
 * Tests that front ends without gossip together stay within the slow-start budget of an engine. Service
 * discovery notifies them of the start at different times, some of them restart, some have several times the
 * mean traffic, and attempts fail and are retried.
 */
public class FleetSlowStartTest {
    private static final List<RequestClass> CLASSES = List.of(
            new RequestClass(
                    new RequestClass.Objective(500, 2, 2500, 1, 0.1),
                    new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.ExecutionProfile(false, false, 1)),
            new RequestClass(
                    new RequestClass.Objective(3000, 2.5, 15_000, 12, 0.4),
                    new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.ExecutionProfile(false, false, 3)));
    private static final double[] WORK_MS = {100, 3000};
    private static final double REPORT_RATIO = 0.15;
    private static final double MEAN_WORK_MS = (1 - REPORT_RATIO) * WORK_MS[0] + REPORT_RATIO * WORK_MS[1];
    private static final SchedulerSettings.Rules RULES = new SchedulerSettings.Rules(
            1000,
            new SchedulerSettings.SlowStartRule(15_000, 0.34, 2.5, 1500),
            0,
            new SchedulerSettings.RetryBudget(0, 0, 0));
    private static final EngineKind KIND = new EngineKind(8, 16_000);
    /** Utilisation of the cores at which an engine has reached its capacity. */
    private static final double USABLE_CORE_RATIO = 0.85;

    private static final double LOAD = 0.85;
    private static final double START_MS = 100_000;
    private static final double MAX_DISCOVERY_DELAY_MS = 4000;
    private static final int MAX_ENGINES = 40;
    private static final double FAILURE_RATIO = 0.05;

    /** Checks the work started on one engine within any sliding window, in requests of mean work. */
    private static final class BudgetCheck {
        private final Deque<double[]> starts = new ArrayDeque<>();
        private double used;
        double maxUsedRatio;

        void recordStart(double ageMs, double workMs) {
            starts.add(new double[] {ageMs, workMs / MEAN_WORK_MS});
            used += workMs / MEAN_WORK_MS;
            while (starts.peek()[0] <= ageMs - RULES.slowStart().windowMs()) {
                used -= starts.poll()[1];
            }
            double meanAllowed = meanAllowedRequests(starts.peek()[0]);
            double bound = meanAllowed + 2 * Math.sqrt(meanAllowed) + 2;
            maxUsedRatio = Math.max(maxUsedRatio, used / bound);
            if (used > bound) {
                throw new AssertionError("overloaded at age " + ageMs + " ms: " + used + ", limit " + bound);
            }
        }

        /** Returns how many requests of mean work an engine tolerates in a window that starts at an age. */
        static double meanAllowedRequests(double ageMs) {
            double capacityRatio = RULES.slowStart().initialRatio()
                    + (1 - RULES.slowStart().initialRatio())
                            * Math.min(1, ageMs / RULES.slowStart().durationMs());
            return RULES.slowStart().overloadFactor()
                    * KIND.cores()
                    * USABLE_CORE_RATIO
                    * capacityRatio
                    * RULES.slowStart().windowMs()
                    / MEAN_WORK_MS;
        }
    }

    private record ScheduledTask(double atMs, long order, Runnable task) {}

    /** A simulated fleet with one clock. */
    private static final class Fleet {
        private final int frontEnds;
        private final SchedulerSettings.Rules rules;
        private final Random random;
        private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
                Comparator.comparingDouble(ScheduledTask::atMs).thenComparingLong(ScheduledTask::order));
        private final int enginesInSlowStart;
        private final int engines;
        private final Map<Long, BudgetCheck> budgetChecks = new HashMap<>();
        private double nowMs = START_MS;
        private long nextOrder;
        private long lastRequestId;
        private int incarnations;
        int startedInSlowStart;
        int retries;

        Fleet(int frontEnds, SchedulerSettings.Rules rules, int seed) {
            this.frontEnds = frontEnds;
            this.rules = rules;
            random = new Random(seed * 7919L + frontEnds);
            engines = Math.max(10, Math.min(MAX_ENGINES, frontEnds * 2 / 5));
            enginesInSlowStart = Math.max(3, engines / 8);
            double requestsPerMs = LOAD * engines * KIND.cores() / MEAN_WORK_MS;
            double[] weights = random.doubles(frontEnds, 0.2, 1).toArray();
            for (int i = 0; i < frontEnds; i += 10) {
                weights[i] *= 5;
            }
            double weightSum = 0;
            for (double weight : weights) {
                weightSum += weight;
            }
            for (int i = 0; i < frontEnds; i++) {
                new FrontEnd(i, requestsPerMs * weights[i] / weightSum).begin();
            }
        }

        Fleet run() {
            while (!tasks.isEmpty()
                    && tasks.peek().atMs < START_MS + RULES.slowStart().durationMs()) {
                ScheduledTask next = tasks.poll();
                nowMs = next.atMs;
                next.task.run();
            }
            return this;
        }

        private void schedule(double delayMs, Runnable task) {
            tasks.add(new ScheduledTask(nowMs + delayMs, nextOrder++, task));
        }

        private List<Endpoint> listEndpoints(boolean enginesStarted) {
            List<Endpoint> endpoints = new ArrayList<>();
            for (int id = 1; id <= engines; id++) {
                if (id > enginesInSlowStart || enginesStarted) {
                    double startedAtMs = id > enginesInSlowStart ? 0 : START_MS;
                    endpoints.add(new Endpoint(id, 0, 1, startedAtMs, EndpointState.READY, 0, 0));
                }
            }
            return endpoints;
        }

        /** A simulated front end with its scheduler, traffic and restarts. */
        private final class FrontEnd {
            private final int ordinal;
            private final double requestsPerMs;
            private final Map<Long, Double> workByRequest = new HashMap<>();
            private final Map<Long, Integer> attemptCounts = new HashMap<>();
            /** The index of the attempt in flight by request. */
            private final Map<Long, Integer> attemptInFlight = new HashMap<>();

            private SpeculativeScheduler scheduler;
            private int incarnation;

            FrontEnd(int ordinal, double requestsPerMs) {
                this.ordinal = ordinal;
                this.requestsPerMs = requestsPerMs;
            }

            void begin() {
                startProcess(false);
                schedule(
                        random.nextDouble() * MAX_DISCOVERY_DELAY_MS,
                        () -> receive(new SchedulerEvent.EndpointsChanged(true, listEndpoints(true))));
                if (random.nextInt(4) == 0) {
                    schedule(random.nextDouble() * RULES.slowStart().durationMs(), () -> startProcess(true));
                }
                scheduleArrival();
            }

            private void startProcess(boolean enginesStarted) {
                incarnation = ++incarnations;
                workByRequest.clear();
                attemptCounts.clear();
                attemptInFlight.clear();
                SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                        new SchedulerSettings.Capabilities(true, false, false, true, true, true, false),
                        new SchedulerSettings.AttemptLimits(6, 2000, 0),
                        new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.PAGE));
                scheduler = new SpeculativeScheduler(
                        new SchedulerSettings(
                                CLASSES,
                                List.of(KIND),
                                new SchedulerSettings.FleetPosition(1, 0, frontEnds, ordinal),
                                limits,
                                rules,
                                new SchedulerSettings.LoadReporting(List.of(), false),
                                new SchedulerSettings.Discovery(false, 0, false),
                                NO_COSTS,
                                new SchedulerSettings.TenantQuotas(List.of(), 1)),
                        random.nextLong());
                receive(new SchedulerEvent.EndpointsChanged(true, listEndpoints(enginesStarted)));
            }

            private void scheduleArrival() {
                schedule(-Math.log(1 - random.nextDouble()) / requestsPerMs, () -> {
                    int classIndex = random.nextDouble() < REPORT_RATIO ? 1 : 0;
                    double workMs = WORK_MS[classIndex] * Math.exp(random.nextGaussian() - 0.5);
                    long id = ++lastRequestId;
                    workByRequest.put(id, workMs);
                    receive(new SchedulerEvent.RequestArrived(
                            id,
                            classIndex,
                            0,
                            CLASSES.get(classIndex).objective().deadlineMs(),
                            workMs * Math.exp(0.4 * random.nextGaussian()),
                            100,
                            1,
                            false,
                            0));
                    scheduleArrival();
                });
            }

            private void receive(SchedulerEvent event) {
                for (SchedulerAction action : scheduler.decide(nowMs, List.of(event))) {
                    if (action instanceof SchedulerAction.ScheduleTimer timer) {
                        SchedulerEvent fired = new SchedulerEvent.TimerFired(timer.token());
                        scheduleUnlessRestarted(timer.delayMs(), () -> receive(fired));
                    } else if (action instanceof SchedulerAction.StartAttempt start) {
                        startAttempt(start);
                    } else if (action instanceof SchedulerAction.CancelAttempt cancel) {
                        scheduleUnlessRestarted(6, () -> cancelAttempt(cancel));
                    }
                }
            }

            /** Schedules a task that is dropped if the front end restarts in the meantime. */
            private void scheduleUnlessRestarted(double delayMs, Runnable task) {
                int scheduledBy = incarnation;
                schedule(delayMs, () -> {
                    if (scheduledBy == incarnation) {
                        task.run();
                    }
                });
            }

            private void startAttempt(SchedulerAction.StartAttempt start) {
                double workMs = workByRequest.get(start.requestId());
                int attempt = attemptCounts.merge(start.requestId(), 1, Integer::sum) - 1;
                attemptInFlight.put(start.requestId(), attempt);
                retries += attempt > 0 ? 1 : 0;
                if (start.engine() <= enginesInSlowStart) {
                    startedInSlowStart++;
                    BudgetCheck check = budgetChecks.computeIfAbsent(start.engine(), id -> new BudgetCheck());
                    check.recordStart(nowMs - START_MS, workMs);
                }
                boolean fails = random.nextDouble() < FAILURE_RATIO;
                AttemptOutcome outcome = fails
                        ? random.nextBoolean() ? AttemptOutcome.REJECTED : AttemptOutcome.RESET
                        : AttemptOutcome.OK;
                scheduleUnlessRestarted(
                        fails ? 5 : workMs / (workMs > 1000 ? 3 : 1) * (1 + random.nextDouble()),
                        () -> endAttempt(start.requestId(), attempt, outcome));
            }

            private void cancelAttempt(SchedulerAction.CancelAttempt cancel) {
                endAttempt(cancel.requestId(), cancel.attempt(), AttemptOutcome.CANCELLED);
            }

            private void endAttempt(long request, int attempt, AttemptOutcome outcome) {
                if (attemptInFlight.remove(request, attempt)) {
                    receive(new SchedulerEvent.AttemptEnded(
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
    public void allFrontEndsTogetherStayWithinTheBudget(int frontEnds, int seeds) {
        int startedInSlowStart = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            Fleet fleet = new Fleet(frontEnds, RULES, seed).run();
            assertTrue(fleet.retries > 0, "attempts are retried");
            startedInSlowStart += fleet.startedInSlowStart;
        }
        assertTrue(startedInSlowStart > 0, "engines in slow start get requests");
    }

    /** Verifies the check itself: front ends without a limit on slow-start work must fail it. */
    @Test
    public void checkFailsWithoutALimit() {
        SchedulerSettings.Rules rulesWithoutLimit = new SchedulerSettings.Rules(
                RULES.drainGraceMs(),
                new SchedulerSettings.SlowStartRule(
                        RULES.slowStart().durationMs(),
                        RULES.slowStart().initialRatio(),
                        0,
                        RULES.slowStart().windowMs()),
                0,
                new SchedulerSettings.RetryBudget(0, 0, 0));
        assertThrows(AssertionError.class, () -> new Fleet(100, rulesWithoutLimit, 1).run());
    }

    @Test
    public void checkFailsForOneRequestTooMany() {
        BudgetCheck check = new BudgetCheck();
        double meanAllowed = BudgetCheck.meanAllowedRequests(0);
        int allowedRequests = (int) (meanAllowed + 2 * Math.sqrt(meanAllowed) + 2);
        for (int i = 0; i < allowedRequests; i++) {
            check.recordStart(0, MEAN_WORK_MS);
        }
        assertThrows(AssertionError.class, () -> check.recordStart(1, MEAN_WORK_MS));
        BudgetCheck steadyUse = new BudgetCheck();
        for (int i = 0; i < 10 * allowedRequests; i++) {
            steadyUse.recordStart(i * RULES.slowStart().windowMs() / allowedRequests * 1.01, MEAN_WORK_MS);
        }
        assertFalse(steadyUse.maxUsedRatio < 0.9, "used at most " + steadyUse.maxUsedRatio + " of the limit");
    }
}
