package lineward.core;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.DeduplicationScope.ALL;
import static lineward.scheduling.EndpointState.READY;
import static lineward.scheduling.Idempotence.BY_KEY;
import static lineward.scheduling.Idempotence.IDEMPOTENT;
import static lineward.scheduling.Idempotence.NON_IDEMPOTENT;
import static lineward.scheduling.LoadReportField.IN_FLIGHT;
import static lineward.scheduling.LoadReportField.MEMORY;
import static lineward.scheduling.ProgressKind.RATIO_DONE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import lineward.scheduling.ActionDigest;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;
import lineward.scheduling.EngineKind;
import lineward.scheduling.MemoryShortage;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.execution.SpeculativeScheduler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Holds every command of the coordinator and its order: digests over seeded days, as recorded of one
 * version. */
public class PlannerDigestTest {
    private static final double STOP_TAKES_MS = 6;
    private static final double TICK_MS = 5;
    private static final int DAY_MS = 12_000;
    private static final int ENGINES = 6;

    private static final class Exchange {
        final int number;

        Exchange(int number) {
            this.number = number;
        }
    }

    private static final class SilentTracer implements Tracer<Exchange> {
        @Override
        public void requestAdmitted(Exchange exchange) {}

        @Override
        public void attemptStarted(Exchange exchange, int attempt, String engine) {}

        @Override
        public void attemptEnded(Exchange exchange, int attempt, AttemptOutcome outcome) {}

        @Override
        public void requestEnded(Exchange exchange, Ending ending) {}

        @Override
        public void log(String text) {}
    }

    private record Due(double at, long order, Runnable step) {}

    @DataProvider
    public Object[][] days() {
        return new Object[][] {
            {2, 1, "8c8552ff22ec6468"},
            {14, 2, "2a99af876d5391f2"},
            {100, 3, "877eabd3d1fe7a08"},
        };
    }

    @Test(dataProvider = "days")
    public void theCommandsOfADayAreThoseRecorded(int fronts, long seed, String recorded) {
        Day day = new Day(fronts, seed);
        String digest = day.play();
        assertTrue(day.commands > 500, "only " + day.commands + " commands");
        assertEquals(digest, recorded);
    }

    private static final class Day {
        private final Random random;
        private final Coordinator<Exchange> planner;
        private final ActionDigest digest = new ActionDigest();
        private final PriorityQueue<Due> queue =
                new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
        private final List<Long> taken = new ArrayList<>();
        private long order;
        private double now = 1_000;
        private int commands;

        Day(int fronts, long seed) {
            random = new Random(seed);
            planner = new Coordinator<>(
                    new SpeculativeScheduler(settings(fronts), seed), 64, STOP_TAKES_MS, new SilentTracer());
        }

        String play() {
            planner.endpointsChanged(true, engines(READY));
            scheduleDay();
            for (double end = now + DAY_MS + 8_000; now < end; now += TICK_MS) {
                while (!queue.isEmpty() && queue.peek().at() <= now) {
                    queue.poll().step().run();
                }
                planner.tick(now).forEach(this::carryOut);
                digest.add(
                        'N',
                        planner.openRequests(),
                        planner.listedEngines(),
                        planner.excludedEngines(),
                        planner.hasPendingEvents() ? 1 : 0);
            }
            return digest.toHex();
        }

        private void schedule(double at, Runnable step) {
            queue.add(new Due(at, order++, step));
        }

        private void scheduleDay() {
            for (int i = 0; i < 600; i++) {
                int number = i;
                schedule(now + random.nextInt(DAY_MS), () -> admit(number));
            }
            for (int i = 0; i < 40; i++) {
                schedule(now + random.nextInt(DAY_MS), this::abortOne);
                schedule(
                        now + random.nextInt(DAY_MS),
                        () -> planner.gossipReceived(1, new byte[] {1, 2, 3, 4, 5, 6, 7, 8}));
            }
            for (int i = 0; i < 10; i++) {
                EndpointState condition = List.of(EndpointState.values()).get(random.nextInt(3));
                EngineEndpoint entry = engines(condition).get(random.nextInt(ENGINES));
                double at = now + random.nextInt(DAY_MS);
                schedule(at, () -> planner.endpointsChanged(false, List.of(entry)));
                schedule(at + 800, () -> planner.endpointsChanged(true, engines(READY)));
            }
            schedule(now + 4_000, () -> planner.setMaintenance("engine-1", true, now));
            schedule(now + 5_000, () -> planner.setMaintenance("engine-1", false, now));
            schedule(now + 6_000, () -> planner.setQuota(0.5));
            schedule(now + 9_000, () -> planner.setShutdownDeadline(now + 1_500));
            schedule(now + 10_000, planner::failOpenRequests);
        }

        private void admit(int number) {
            double timeLeft = random.nextInt(20) == 0 ? 3 : 500 + random.nextInt(3_000);
            double cost = random.nextInt(3) == 0 ? 0 : 50 + random.nextInt(400);
            RequestAttributes demand = new RequestAttributes(
                    random.nextInt(3),
                    random.nextInt(2),
                    timeLeft,
                    cost,
                    random.nextInt(900),
                    random.nextInt(5),
                    random.nextInt(8) == 0);
            long id = planner.admit(now, demand, new Exchange(number));
            digest.add('I', (double) id);
            if (id != GenerationalTable.FULL) {
                taken.add(id);
            }
        }

        private void abortOne() {
            if (!taken.isEmpty()) {
                planner.cancelRequest(taken.get(random.nextInt(taken.size())));
            }
        }

        private void carryOut(Command<Exchange> command) {
            commands++;
            if (command instanceof Command.StartAttempt<Exchange> c) {
                digest.add(
                        'S',
                        c.exchange().number,
                        (double) c.request(),
                        c.attempt(),
                        engineNumber(c.engine()),
                        (double) c.timeoutMs(),
                        (double) c.startWithinMs(),
                        c.grantMb(),
                        c.priority());
                start(c);
            } else if (command instanceof Command.CancelAttempt<Exchange> c) {
                double request = c.request();
                digest.add('C', c.exchange().number, request, c.attempt(), engineNumber(c.engine()));
                schedule(now + random.nextInt(12), () -> end(c.request(), c.attempt(), CANCELLED));
            } else if (command instanceof Command.Reject<Exchange> c) {
                digest.add('R', c.exchange().number, (double) c.retryAfterMs());
            } else if (command instanceof Command.Fail<Exchange> c) {
                digest.add('F', c.exchange().number);
            } else if (command instanceof Command.ChangePriority<Exchange> c) {
                digest.add('Q', c.exchange().number, (double) c.request(), c.attempt(), c.priority());
            } else if (command instanceof Command.CheckHealth<Exchange> c) {
                digest.add('P', engineNumber(c.engine()));
                answerProbe(c.engine());
            } else if (command instanceof Command.BroadcastGossip<Exchange> c) {
                digest.add('A', c.payload());
            }
        }

        private void start(Command.StartAttempt<Exchange> c) {
            double service = 20 + random.nextInt(random.nextInt(10) == 0 ? 4_000 : 300);
            AttemptOutcome[] outcomes = {OK, OK, OK, OK, ERROR, REJECTED, CONNECT_FAILED, RESET};
            AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length)];
            if (random.nextInt(4) == 0) {
                schedule(now + service / 2, () -> reportProgress(c));
            }
            if (random.nextInt(10) == 0) {
                schedule(
                        now + service - 1,
                        () -> digest.add('O', planner.responseStarted(c.request(), c.attempt()) ? 1 : 0));
            }
            schedule(now + service, () -> end(c.request(), c.attempt(), outcome));
        }

        private void reportProgress(Command.StartAttempt<Exchange> c) {
            planner.attemptProgressed(c.request(), c.attempt(), RATIO_DONE, 0.5);
        }

        private void end(long request, int attempt, AttemptOutcome outcome) {
            digest.add('E', planner.attemptEnded(request, attempt, outcome) ? 1 : 0);
        }

        private void answerProbe(String engine) {
            double[] report = {random.nextInt(6), random.nextDouble()};
            schedule(now + random.nextInt(400), () -> planner.healthCheckCompleted(now, engine, OK, report));
        }

        private static int engineNumber(String engine) {
            return Integer.parseInt(engine.substring("engine-".length()));
        }

        private static List<EngineEndpoint> engines(EndpointState condition) {
            List<EngineEndpoint> entries = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                entries.add(new EngineEndpoint("engine-" + i, "", i % 2, 1, 0, condition, i % 2, 0));
            }
            return entries;
        }

        private static SchedulerSettings settings(int fronts) {
            RequestClass look = new RequestClass(
                    new RequestClass.Objective(800, 1, 4_000, 1, 0),
                    new RequestClass.Repeatability(IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.Workload(false, true, 1));
            RequestClass load = new RequestClass(
                    new RequestClass.Objective(2_000, 2, 6_000, 3, 0.5),
                    new RequestClass.Repeatability(NON_IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.Workload(true, false, 2));
            RequestClass keyed = new RequestClass(
                    new RequestClass.Objective(900, 1, 4_000, 2, 0),
                    new RequestClass.Repeatability(BY_KEY, ALL, 900, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.Workload(false, true, 1));
            SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                    new SchedulerSettings.Capabilities(true, true, false, true, true, true, true),
                    new SchedulerSettings.AttemptLimits(4, 500, 400),
                    new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.WAIT));
            SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                    1_000,
                    new SchedulerSettings.SlowStartRule(5_000, 0.3, 3, 1_000),
                    300,
                    new SchedulerSettings.RetryBudget(5_000, 3, 0.2));
            return new SchedulerSettings(
                    List.of(look, load, keyed),
                    List.of(new EngineKind(8, 16_000), new EngineKind(4, 8_000)),
                    new SchedulerSettings.FleetPosition(2, 0, fronts, 0),
                    limits,
                    rules,
                    new SchedulerSettings.Reporting(List.of(IN_FLIGHT, MEMORY), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    new SchedulerSettings.Costs(0.001, 0.0001),
                    new SchedulerSettings.Quotas(List.of(), 1));
        }
    }
}
