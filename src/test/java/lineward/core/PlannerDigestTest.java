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
    private static final double CANCEL_TIMEOUT_MS = 6;
    private static final double TICK_MS = 5;
    private static final int WORKLOAD_MS = 12_000;
    private static final int ENGINE_COUNT = 6;

    private static final class TestRequest {
        final int number;

        TestRequest(int number) {
            this.number = number;
        }
    }

    private record ScheduledStep(double atMs, long sequence, Runnable step) {}

    @DataProvider
    public Object[][] workloads() {
        return new Object[][] {
            {2, 1, "1c5e05e6fd6babb4"},
            {14, 2, "2a99af876d5391f2"},
            {100, 3, "877eabd3d1fe7a08"},
        };
    }

    @Test(dataProvider = "workloads")
    public void commandsMatchTheRecordedDigest(int frontEnds, long seed, String recordedDigest) {
        RandomWorkload workload = new RandomWorkload(frontEnds, seed);
        String digest = workload.run();
        assertTrue(workload.commandCount > 500, "only " + workload.commandCount + " commands");
        assertEquals(digest, recordedDigest);
    }

    private static final class RandomWorkload implements Forwarder<TestRequest> {
        private final Random random;
        private final Coordinator<TestRequest> coordinator;
        private final ActionDigest digest = new ActionDigest();
        private final PriorityQueue<ScheduledStep> scheduledSteps = new PriorityQueue<>(
                Comparator.comparingDouble(ScheduledStep::atMs).thenComparingLong(ScheduledStep::sequence));
        private final List<Long> admittedIds = new ArrayList<>();
        private long nextSequence;
        private double nowMs = 1_000;
        private int commandCount;

        RandomWorkload(int frontEnds, long seed) {
            random = new Random(seed);
            SpeculativeScheduler scheduler = new SpeculativeScheduler(settings(frontEnds), seed);
            coordinator = new Coordinator<>(scheduler, 64, CANCEL_TIMEOUT_MS, new NoOpTracer<>());
        }

        String run() {
            coordinator.endpointsChanged(true, endpoints(READY));
            scheduleSteps();
            for (double endMs = nowMs + WORKLOAD_MS + 8_000; nowMs < endMs; nowMs += TICK_MS) {
                while (!scheduledSteps.isEmpty() && scheduledSteps.peek().atMs() <= nowMs) {
                    scheduledSteps.poll().step().run();
                }
                coordinator.tick(nowMs).forEach(this::execute);
                digest.add(
                        'N',
                        coordinator.openRequestCount(),
                        coordinator.listedEngineCount(),
                        coordinator.excludedEngineCount(),
                        coordinator.hasPendingEvents() ? 1 : 0);
            }
            return digest.toHex();
        }

        private void schedule(double atMs, Runnable step) {
            scheduledSteps.add(new ScheduledStep(atMs, nextSequence++, step));
        }

        private void scheduleSteps() {
            for (int i = 0; i < 600; i++) {
                int number = i;
                schedule(nowMs + random.nextInt(WORKLOAD_MS), () -> admit(number));
            }
            for (int i = 0; i < 40; i++) {
                schedule(nowMs + random.nextInt(WORKLOAD_MS), this::cancelRandomRequest);
                schedule(
                        nowMs + random.nextInt(WORKLOAD_MS),
                        () -> coordinator.gossipReceived(1, new byte[] {1, 2, 3, 4, 5, 6, 7, 8}));
            }
            for (int i = 0; i < 10; i++) {
                EndpointState state = List.of(EndpointState.values()).get(random.nextInt(3));
                EngineEndpoint endpoint = endpoints(state).get(random.nextInt(ENGINE_COUNT));
                double atMs = nowMs + random.nextInt(WORKLOAD_MS);
                schedule(atMs, () -> coordinator.endpointsChanged(false, List.of(endpoint)));
                schedule(atMs + 800, () -> coordinator.endpointsChanged(true, endpoints(READY)));
            }
            schedule(nowMs + 4_000, () -> coordinator.setMaintenance("engine-1", true, nowMs));
            schedule(nowMs + 5_000, () -> coordinator.setMaintenance("engine-1", false, nowMs));
            schedule(nowMs + 6_000, () -> coordinator.setQuota(0.5));
            schedule(nowMs + 9_000, () -> coordinator.setShutdownDeadline(nowMs + 1_500));
            schedule(nowMs + 10_000, coordinator::failOpenRequests);
        }

        private void admit(int number) {
            double timeLeftMs = random.nextInt(20) == 0 ? 3 : 500 + random.nextInt(3_000);
            double estimatedWorkMs = random.nextInt(3) == 0 ? 0 : 50 + random.nextInt(400);
            RequestAttributes attributes = new RequestAttributes(
                    random.nextInt(3),
                    random.nextInt(2),
                    timeLeftMs,
                    estimatedWorkMs,
                    random.nextInt(900),
                    random.nextInt(5),
                    random.nextInt(8) == 0);
            long id = coordinator.admit(nowMs, attributes, new TestRequest(number));
            digest.add('I', (double) id);
            if (id != GenerationalTable.FULL) {
                admittedIds.add(id);
            }
        }

        private void cancelRandomRequest() {
            if (!admittedIds.isEmpty()) {
                coordinator.cancelRequest(admittedIds.get(random.nextInt(admittedIds.size())));
            }
        }

        private void execute(Command<TestRequest> command) {
            commandCount++;
            command.executeBy(this);
        }

        @Override
        public void startAttempt(Command.StartAttempt<TestRequest> command) {
            digest.add(
                    'S',
                    command.protocolRequest().number,
                    (double) command.requestId(),
                    command.attempt(),
                    engineNumber(command.engineId()),
                    (double) command.timeoutMs(),
                    (double) command.startWithinMs(),
                    command.grantMb(),
                    command.priority());
            double serviceMs = 20 + random.nextInt(random.nextInt(10) == 0 ? 4_000 : 300);
            AttemptOutcome[] outcomes = {OK, OK, OK, OK, ERROR, REJECTED, CONNECT_FAILED, RESET};
            AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length)];
            long requestId = command.requestId();
            int attemptNumber = command.attempt();
            if (random.nextInt(4) == 0) {
                schedule(nowMs + serviceMs / 2, () -> reportProgress(requestId, attemptNumber));
            }
            if (random.nextInt(10) == 0) {
                schedule(nowMs + serviceMs - 1, () -> startResponse(requestId, attemptNumber));
            }
            schedule(nowMs + serviceMs, () -> endAttempt(requestId, attemptNumber, outcome));
        }

        private void reportProgress(long requestId, int attemptNumber) {
            coordinator.attemptProgressed(requestId, attemptNumber, RATIO_DONE, 0.5);
        }

        private void startResponse(long requestId, int attemptNumber) {
            digest.add('O', coordinator.responseStarted(requestId, attemptNumber) ? 1 : 0);
        }

        @Override
        public void cancelAttempt(Command.CancelAttempt<TestRequest> command) {
            double requestId = command.requestId();
            int engine = engineNumber(command.engineId());
            digest.add('C', command.protocolRequest().number, requestId, command.attemptNumber(), engine);
            schedule(
                    nowMs + random.nextInt(12),
                    () -> endAttempt(command.requestId(), command.attemptNumber(), CANCELLED));
        }

        @Override
        public void reject(Command.Reject<TestRequest> command) {
            digest.add('R', command.protocolRequest().number, (double) command.retryAfterMs());
        }

        @Override
        public void fail(Command.Fail<TestRequest> command) {
            digest.add('F', command.protocolRequest().number);
        }

        @Override
        public void changePriority(Command.ChangePriority<TestRequest> command) {
            double requestIdAsDouble = command.requestId();
            digest.add(
                    'Q',
                    command.protocolRequest().number,
                    requestIdAsDouble,
                    command.attemptNumber(),
                    command.priority());
        }

        @Override
        public void checkHealth(Command.CheckHealth<TestRequest> command) {
            String engineId = command.engineId();
            digest.add('P', engineNumber(engineId));
            double[] loadReport = {random.nextInt(6), random.nextDouble()};
            schedule(nowMs + random.nextInt(400), () -> completeHealthCheck(command, loadReport));
        }

        private void completeHealthCheck(Command.CheckHealth<TestRequest> check, double[] loadReport) {
            coordinator.healthCheckCompleted(nowMs, check.engineId(), check.checkNumber(), OK, loadReport);
        }

        @Override
        public void broadcastGossip(Command.BroadcastGossip<TestRequest> command) {
            digest.add('A', command.payload());
        }

        private void endAttempt(long requestId, int attemptNumber, AttemptOutcome outcome) {
            digest.add('E', coordinator.attemptEnded(requestId, attemptNumber, outcome) ? 1 : 0);
        }

        private static int engineNumber(String engineId) {
            return Integer.parseInt(engineId.substring("engine-".length()));
        }

        private static List<EngineEndpoint> endpoints(EndpointState state) {
            List<EngineEndpoint> endpoints = new ArrayList<>();
            for (int i = 0; i < ENGINE_COUNT; i++) {
                endpoints.add(new EngineEndpoint("engine-" + i, "", i % 2, 1, 0, state, i % 2, 0));
            }
            return endpoints;
        }

        private static SchedulerSettings settings(int frontEnds) {
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
                    new SchedulerSettings.FleetPosition(2, 0, frontEnds, 0),
                    limits,
                    rules,
                    new SchedulerSettings.LoadReporting(List.of(IN_FLIGHT, MEMORY), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    new SchedulerSettings.MessageCosts(0.001, 0.0001),
                    new SchedulerSettings.TenantQuotas(List.of(), 1));
        }
    }
}
