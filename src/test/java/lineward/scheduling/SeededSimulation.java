package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.NOT_STARTED;
import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.AttemptProgress;
import lineward.scheduling.SchedulerEvent.DiscoveryFailed;
import lineward.scheduling.SchedulerEvent.EndpointsChanged;
import lineward.scheduling.SchedulerEvent.GossipReceived;
import lineward.scheduling.SchedulerEvent.HealthCheckCompleted;
import lineward.scheduling.SchedulerEvent.MaintenanceChanged;
import lineward.scheduling.SchedulerEvent.QuotaChanged;
import lineward.scheduling.SchedulerEvent.RequestArrived;
import lineward.scheduling.SchedulerEvent.RequestCancelled;
import lineward.scheduling.SchedulerEvent.ResponseStarted;
import lineward.scheduling.SchedulerEvent.TimerFired;
import lineward.scheduling.execution.SpeculativeScheduler;

/**
 * Simulates random valid events for one scheduler. Engines answer, straggle, fail, stop responding, drain and
 * restart; clients cancel; other front ends send gossip. The same seed and settings give the same events as
 * long as the scheduler gives the same actions.
 */
final class SeededSimulation {
    private static final double START_MS = 1_000;
    private static final double ARRIVAL_PERIOD_MS = 20_000;
    private static final double END_MS = 40_000;
    private static final double MEAN_RUN_MS = 180;
    private static final int REPORT_FIELD_COUNT = 3;

    private record TimedEvent(double atMs, long sequenceNumber, SchedulerEvent event) {}

    private static final class OpenRequest {
        final double deadlineMs;
        int attempts;

        OpenRequest(double deadlineMs) {
            this.deadlineMs = deadlineMs;
        }
    }

    private final Random random;
    private final SchedulerSettings settings;
    private final Scheduler scheduler;
    private final int engineCount;
    private final PriorityQueue<TimedEvent> events = new PriorityQueue<>(
            Comparator.comparingDouble(TimedEvent::atMs).thenComparingLong(TimedEvent::sequenceNumber));
    private final Map<Long, OpenRequest> requests = new HashMap<>();
    private final Map<Long, Double> silentUntilByEngine = new HashMap<>();
    private final ActionDigest digest = new ActionDigest();
    private long nextNumber;
    private int actionCount;

    SeededSimulation(SchedulerSettings settings, int engineCount, long seed) {
        this.settings = settings;
        this.engineCount = engineCount;
        this.random = new Random(seed);
        this.scheduler = new SpeculativeScheduler(settings, seed);
    }

    /** Runs the simulation to its end. */
    SeededSimulation run() {
        scheduleEndpoints();
        scheduleArrivals();
        scheduleGossip();
        while (!events.isEmpty() && events.peek().atMs() < END_MS) {
            double nowMs = events.peek().atMs();
            List<SchedulerEvent> batch = new ArrayList<>();
            while (!events.isEmpty() && events.peek().atMs() == nowMs) {
                recordEvent(events.poll().event(), nowMs, batch);
            }
            for (SchedulerAction action : scheduler.decide(nowMs, batch)) {
                actionCount++;
                digest.add(action);
                perform(action, nowMs);
            }
            digest.add('N', nowMs, scheduler.excludedEngineCount());
        }
        return this;
    }

    int actionCount() {
        return actionCount;
    }

    String digest() {
        return digest.toHex();
    }

    private void schedule(double atMs, SchedulerEvent event) {
        events.add(new TimedEvent(atMs, nextNumber++, event));
    }

    private Endpoint endpoint(long engine, EndpointState state, double startedAtMs) {
        int kind = (int) (engine % settings.kinds().size());
        int zone = (int) (engine % Math.max(1, settings.position().zoneCount()));
        return new Endpoint(engine, kind, 1, startedAtMs, state, zone, (int) (engine / 2 % 3));
    }

    private void scheduleEndpoints() {
        List<Endpoint> list = new ArrayList<>();
        for (long engine = 1; engine <= engineCount; engine++) {
            list.add(endpoint(engine, EndpointState.READY, engine % 5 == 0 ? START_MS - 500 : 0));
        }
        schedule(START_MS, new EndpointsChanged(true, list));
        for (int i = 0; i < 24; i++) {
            double atMs = START_MS + random.nextDouble() * ARRIVAL_PERIOD_MS;
            long engine = 1L + random.nextInt(engineCount);
            EndpointState state = List.of(EndpointState.values()).get(random.nextInt(3));
            schedule(atMs, new EndpointsChanged(false, List.of(endpoint(engine, state, 0))));
            Endpoint restarted = endpoint(engine, EndpointState.READY, atMs + 600);
            schedule(atMs + 700, new EndpointsChanged(false, List.of(restarted)));
        }
        schedule(START_MS + 9_000, new EndpointsChanged(true, list));
        schedule(START_MS + 5_000, new DiscoveryFailed());
        schedule(START_MS + 6_000, new MaintenanceChanged(2, true, START_MS + 6_000));
        schedule(START_MS + 9_500, new MaintenanceChanged(2, false, START_MS + 9_500));
        schedule(START_MS + 7_000, new MaintenanceChanged(engineCount + 9, true, START_MS + 7_000));
        schedule(START_MS + 11_000, new QuotaChanged(0.5));
        schedule(START_MS + 14_000, new QuotaChanged(1));
        silentUntilByEngine.put(3L, START_MS + 8_000);
    }

    private void scheduleArrivals() {
        int count = 700;
        for (int request = 1; request <= count; request++) {
            double atMs = START_MS + random.nextDouble() * ARRIVAL_PERIOD_MS;
            int classIndex = random.nextInt(settings.classes().size());
            long key = random.nextInt(3) == 0 ? 1 + random.nextInt(6) : 0;
            double timeLeftMs = random.nextInt(25) == 0 ? 0 : 800 + random.nextInt(5_000);
            double workMs = random.nextInt(4) == 0 ? 0 : 50 + random.nextInt(700);
            schedule(
                    atMs,
                    new RequestArrived(
                            request,
                            classIndex,
                            key,
                            timeLeftMs,
                            workMs,
                            random.nextInt(1_500),
                            random.nextInt(6),
                            random.nextInt(9) == 0,
                            random.nextInt(2)));
            if (random.nextInt(20) == 0) {
                schedule(atMs + random.nextInt(900), new RequestCancelled(request));
            }
        }
    }

    private void scheduleGossip() {
        for (int i = 0; i < 60 && settings.limits().capabilities().gossip(); i++) {
            byte[] payload = new byte[random.nextInt(60)];
            random.nextBytes(payload);
            schedule(START_MS + random.nextDouble() * ARRIVAL_PERIOD_MS, new GossipReceived(i % 3, payload));
        }
    }

    private void recordEvent(SchedulerEvent event, double nowMs, List<SchedulerEvent> batch) {
        if (event instanceof RequestArrived arrival) {
            requests.put(arrival.requestId(), new OpenRequest(nowMs + arrival.timeLeftMs()));
        }
        batch.add(event);
    }

    private void perform(SchedulerAction action, double nowMs) {
        if (action instanceof SchedulerAction.StartAttempt start) {
            startAttempt(start, nowMs);
        } else if (action instanceof SchedulerAction.CancelAttempt cancel) {
            scheduleCancelledEnd(cancel, nowMs);
        } else if (action instanceof SchedulerAction.StartHealthCheck check) {
            scheduleHealthCheckEnd(check, nowMs);
        } else if (action instanceof SchedulerAction.ScheduleTimer timer) {
            schedule(nowMs + timer.delayMs(), new TimerFired(timer.token()));
        }
    }

    private void startAttempt(SchedulerAction.StartAttempt start, double nowMs) {
        OpenRequest request = requests.get(start.requestId());
        int attempt = request.attempts++;
        double runMs = MEAN_RUN_MS * -Math.log(1 - random.nextDouble());
        runMs *= random.nextInt(12) == 0 ? 12 : 1;
        double silentUntilMs = silentUntilByEngine.getOrDefault(start.engine(), 0.0);
        double endMs = Math.max(nowMs + 5 + runMs, silentUntilMs > nowMs ? silentUntilMs + runMs : 0);
        double progressUntilMs = Math.min(endMs, request.deadlineMs);
        scheduleProgress(start.requestId(), attempt, nowMs, progressUntilMs, silentUntilMs > nowMs);
        AttemptOutcome outcome = drawOutcome();
        if (endMs >= request.deadlineMs) {
            endMs = Math.max(nowMs, request.deadlineMs);
            outcome = TIMEOUT;
        }
        schedule(endMs, attemptEnded(start.requestId(), attempt, outcome));
    }

    private void scheduleProgress(long request, int attempt, double fromMs, double untilMs, boolean silent) {
        if (silent) {
            return;
        }
        if (random.nextInt(6) == 0) {
            ProgressKind kind = List.of(ProgressKind.values()).get(1 + random.nextInt(3));
            schedule(fromMs + 3, new AttemptProgress(request, attempt, kind, random.nextInt(300)));
        }
        double intervalMs = settings.limits().attempts().progressIntervalMs();
        for (double atMs = fromMs + intervalMs; intervalMs > 0 && atMs < untilMs; atMs += intervalMs) {
            double done = (atMs - fromMs) / (untilMs - fromMs) * (0.6 + 0.4 * random.nextDouble());
            schedule(atMs, new AttemptProgress(request, attempt, ProgressKind.RATIO_DONE, done));
        }
        if (random.nextInt(15) == 0) {
            schedule(untilMs - 1, new ResponseStarted(request, attempt));
        }
    }

    private AttemptOutcome drawOutcome() {
        return switch (random.nextInt(40)) {
            case 0, 1 -> ERROR;
            case 2, 3 -> REJECTED;
            case 4 -> CONNECT_FAILED;
            case 5, 6 -> RESET;
            case 7 -> NOT_STARTED;
            default -> OK;
        };
    }

    private AttemptEnded attemptEnded(long request, int attempt, AttemptOutcome outcome) {
        boolean reportsUsage = outcome == OK && random.nextBoolean();
        double workMs = reportsUsage ? 40 + random.nextInt(900) : 0;
        double memoryMb = reportsUsage ? 20 + random.nextInt(1_800) : 0;
        boolean completed = outcome == OK;
        return new AttemptEnded(request, attempt, outcome, completed, workMs, memoryMb, new double[0]);
    }

    /** A cancelled attempt may end by itself before it is stopped; the scheduler ignores the second end. */
    private void scheduleCancelledEnd(SchedulerAction.CancelAttempt cancel, double nowMs) {
        AttemptOutcome outcome = random.nextInt(10) == 0 ? OK : CANCELLED;
        schedule(nowMs + 1 + random.nextInt(40), attemptEnded(cancel.requestId(), cancel.attempt(), outcome));
    }

    private void scheduleHealthCheckEnd(SchedulerAction.StartHealthCheck check, double nowMs) {
        double[] report = new double[REPORT_FIELD_COUNT];
        for (int i = 0; i < report.length; i++) {
            report[i] = random.nextDouble() * (i == 0 ? 12 : 1);
        }
        AttemptOutcome outcome = switch (random.nextInt(20)) {
            case 0 -> TIMEOUT;
            case 1 -> REJECTED;
            default -> OK;
        };
        double latencyMs = outcome == TIMEOUT ? 250 : 2 + random.nextInt(20);
        schedule(nowMs + latencyMs, new HealthCheckCompleted(check.engine(), outcome, latencyMs, report));
    }
}
