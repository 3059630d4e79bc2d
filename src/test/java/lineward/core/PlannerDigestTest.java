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
import lineward.scheduling.MemoryShortageHandling;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.execution.SpeculativeScheduler;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares a digest of the coordinator's commands, results and counters with the recorded one. The workloads
 * are random but reproducible, with requests, cancels, engine changes and a shutdown. The digest changes with
 * any change to a scheduling decision or to the order of the commands.
 */
public class PlannerDigestTest {
    private static final double CANCEL_DURATION_MS = 6;
    private static final double TICK_MS = 5;
    private static final int DAY_MS = 12_000;
    private static final int ENGINES = 6;

    private static final class Exchange {
        final int number;

        Exchange(int number) {
            this.number = number;
        }
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
    public void commandsOfADayMatchTheRecordedDigest(int fronts, long seed, String recorded) {
        Day day = new Day(fronts, seed);
        String digest = day.play();
        assertTrue(day.commands > 500, "only " + day.commands + " commands");
        assertEquals(digest, recorded);
    }

    private static final class Day implements Forwarder<Exchange> {
        private final Random random;
        private final Coordinator<Exchange> coordinator;
        private final ActionDigest digest = new ActionDigest();
        private final PriorityQueue<Due> queue =
                new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::order));
        private final List<Long> admittedIds = new ArrayList<>();
        private long order;
        private double now = 1_000;
        private int commands;

        Day(int fronts, long seed) {
            random = new Random(seed);
            SpeculativeScheduler scheduler = new SpeculativeScheduler(settings(fronts), seed);
            coordinator = new Coordinator<>(scheduler, 64, CANCEL_DURATION_MS, new SilentTracer<>());
        }

        String play() {
            coordinator.endpointsChanged(true, engines(READY));
            scheduleDay();
            for (double end = now + DAY_MS + 8_000; now < end; now += TICK_MS) {
                while (!queue.isEmpty() && queue.peek().at() <= now) {
                    queue.poll().step().run();
                }
                coordinator.tick(now).forEach(this::execute);
                digest.add(
                        'N',
                        coordinator.openRequests(),
                        coordinator.listedEngines(),
                        coordinator.excludedEngines(),
                        coordinator.hasPendingEvents() ? 1 : 0);
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
                        () -> coordinator.gossipReceived(1, new byte[] {1, 2, 3, 4, 5, 6, 7, 8}));
            }
            for (int i = 0; i < 10; i++) {
                EndpointState state = List.of(EndpointState.values()).get(random.nextInt(3));
                EngineEndpoint entry = engines(state).get(random.nextInt(ENGINES));
                double at = now + random.nextInt(DAY_MS);
                schedule(at, () -> coordinator.endpointsChanged(false, List.of(entry)));
                schedule(at + 800, () -> coordinator.endpointsChanged(true, engines(READY)));
            }
            schedule(now + 4_000, () -> coordinator.setMaintenance("engine-1", true, now));
            schedule(now + 5_000, () -> coordinator.setMaintenance("engine-1", false, now));
            schedule(now + 6_000, () -> coordinator.setQuota(0.5));
            schedule(now + 9_000, () -> coordinator.setShutdownDeadline(now + 1_500));
            schedule(now + 10_000, coordinator::failOpenRequests);
        }

        private void admit(int number) {
            double timeLeft = random.nextInt(20) == 0 ? 3 : 500 + random.nextInt(3_000);
            double cost = random.nextInt(3) == 0 ? 0 : 50 + random.nextInt(400);
            RequestAttributes attributes = new RequestAttributes(
                    random.nextInt(3),
                    random.nextInt(2),
                    timeLeft,
                    cost,
                    random.nextInt(900),
                    random.nextInt(5),
                    random.nextInt(8) == 0);
            long id = coordinator.admit(now, attributes, new Exchange(number));
            digest.add('I', (double) id);
            if (id != GenerationalTable.FULL) {
                admittedIds.add(id);
            }
        }

        private void abortOne() {
            if (!admittedIds.isEmpty()) {
                coordinator.cancelRequest(admittedIds.get(random.nextInt(admittedIds.size())));
            }
        }

        private void execute(Command<Exchange> command) {
            commands++;
            command.executeBy(this);
        }

        @Override
        public void startAttempt(Command.StartAttempt<Exchange> command) {
            digest.add(
                    'S',
                    command.exchange().number,
                    (double) command.request(),
                    command.attempt(),
                    engineNumber(command.engine()),
                    (double) command.timeoutMs(),
                    (double) command.startWithinMs(),
                    command.grantMb(),
                    command.priority());
            double serviceMs = 20 + random.nextInt(random.nextInt(10) == 0 ? 4_000 : 300);
            AttemptOutcome[] outcomes = {OK, OK, OK, OK, ERROR, REJECTED, CONNECT_FAILED, RESET};
            AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length)];
            long request = command.request();
            int attempt = command.attempt();
            if (random.nextInt(4) == 0) {
                schedule(now + serviceMs / 2, () -> reportProgress(request, attempt));
            }
            if (random.nextInt(10) == 0) {
                schedule(now + serviceMs - 1, () -> startResponse(request, attempt));
            }
            schedule(now + serviceMs, () -> end(request, attempt, outcome));
        }

        private void reportProgress(long request, int attempt) {
            coordinator.attemptProgressed(request, attempt, RATIO_DONE, 0.5);
        }

        private void startResponse(long request, int attempt) {
            digest.add('O', coordinator.responseStarted(request, attempt) ? 1 : 0);
        }

        @Override
        public void cancelAttempt(Command.CancelAttempt<Exchange> command) {
            double request = command.request();
            int engine = engineNumber(command.engine());
            digest.add('C', command.exchange().number, request, command.attempt(), engine);
            schedule(now + random.nextInt(12), () -> end(command.request(), command.attempt(), CANCELLED));
        }

        @Override
        public void reject(Command.Reject<Exchange> command) {
            digest.add('R', command.exchange().number, (double) command.retryAfterMs());
        }

        @Override
        public void fail(Command.Fail<Exchange> command) {
            digest.add('F', command.exchange().number);
        }

        @Override
        public void changePriority(Command.ChangePriority<Exchange> command) {
            double request = command.request();
            digest.add('Q', command.exchange().number, request, command.attempt(), command.priority());
        }

        @Override
        public void checkHealth(Command.CheckHealth<Exchange> command) {
            String engine = command.engine();
            digest.add('P', engineNumber(engine));
            double[] report = {random.nextInt(6), random.nextDouble()};
            schedule(now + random.nextInt(400), () -> completeHealthCheck(engine, report));
        }

        private void completeHealthCheck(String engine, double[] report) {
            coordinator.healthCheckCompleted(now, engine, OK, report);
        }

        @Override
        public void broadcastGossip(Command.BroadcastGossip<Exchange> command) {
            digest.add('A', command.payload());
        }

        private void end(long request, int attempt, AttemptOutcome outcome) {
            digest.add('E', coordinator.attemptEnded(request, attempt, outcome) ? 1 : 0);
        }

        private static int engineNumber(String engine) {
            return Integer.parseInt(engine.substring("engine-".length()));
        }

        private static List<EngineEndpoint> engines(EndpointState state) {
            List<EngineEndpoint> entries = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                entries.add(new EngineEndpoint("engine-" + i, "", i % 2, 1, 0, state, i % 2, 0));
            }
            return entries;
        }

        private static SchedulerSettings settings(int fronts) {
            RequestClass interactive = new RequestClass(
                    new RequestClass.Objective(800, 1, 4_000, 1, 0),
                    new RequestClass.Repeatability(IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.ExecutionProfile(false, true, 1));
            RequestClass loading = new RequestClass(
                    new RequestClass.Objective(2_000, 2, 6_000, 3, 0.5),
                    new RequestClass.Repeatability(NON_IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.ExecutionProfile(true, false, 2));
            RequestClass keyed = new RequestClass(
                    new RequestClass.Objective(900, 1, 4_000, 2, 0),
                    new RequestClass.Repeatability(BY_KEY, ALL, 900, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.ExecutionProfile(false, true, 1));
            SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                    new SchedulerSettings.Capabilities(true, true, false, true, true, true, true),
                    new SchedulerSettings.AttemptLimits(4, 500, 400),
                    new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.WAIT));
            SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                    1_000,
                    new SchedulerSettings.SlowStartRule(5_000, 0.3, 3, 1_000),
                    300,
                    new SchedulerSettings.RetryBudget(5_000, 3, 0.2));
            return new SchedulerSettings(
                    List.of(interactive, loading, keyed),
                    List.of(new EngineKind(8, 16_000), new EngineKind(4, 8_000)),
                    new SchedulerSettings.FleetPosition(2, 0, fronts, 0),
                    limits,
                    rules,
                    new SchedulerSettings.LoadReporting(List.of(IN_FLIGHT, MEMORY), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    new SchedulerSettings.MessageCosts(0.001, 0.0001),
                    new SchedulerSettings.TenantQuotas(List.of(), 1));
        }
    }
}
