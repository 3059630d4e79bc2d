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
 * A day of random but legal events for one decision module. Engines serve, straggle, fail, fall silent,
 * drain and
 * come back cold; clients leave; peers send gossip. The same seed and settings give the same events as
 * long as the
 * module gives the same actions.
 */
final class SeededDay {
    private static final double START = 1_000;
    private static final double ARRIVALS_UNTIL = 20_000;
    private static final double DAY_ENDS = 40_000;
    private static final double MEAN_SERVICE = 180;
    private static final int REPORT_FIELDS = 3;

    private record Due(double at, long order, SchedulerEvent event) {}

    private static final class Open {
        final double deadline;
        int attempts;

        Open(double deadline) {
            this.deadline = deadline;
        }
    }

    private final Random random;
    private final SchedulerSettings settings;
    private final Scheduler module;
    private final int engineCount;
    private final PriorityQueue<Due> queue = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
    private final Map<Long, Open> requests = new HashMap<>();
    private final Map<Long, Double> silentUntil = new HashMap<>();
    private final ActionDigest digest = new ActionDigest();
    private long order;
    private int actions;

    SeededDay(SchedulerSettings settings, int engineCount, long seed) {
        this.settings = settings;
        this.engineCount = engineCount;
        this.random = new Random(seed);
        this.module = new SpeculativeScheduler(settings, seed);
    }

    /** Plays the day to its end. */
    SeededDay play() {
        scheduleEndpoints();
        scheduleArrivals();
        schedulePeers();
        while (!queue.isEmpty() && queue.peek().at() < DAY_ENDS) {
            double now = queue.peek().at();
            List<SchedulerEvent> batch = new ArrayList<>();
            while (!queue.isEmpty() && queue.peek().at() == now) {
                takeIn(queue.poll().event(), now, batch);
            }
            for (SchedulerAction action : module.decide(now, batch)) {
                actions++;
                digest.add(action);
                perform(action, now);
            }
            digest.add('N', now, module.excludedEngines());
        }
        return this;
    }

    int actions() {
        return actions;
    }

    String digest() {
        return digest.toHex();
    }

    private void schedule(double at, SchedulerEvent event) {
        queue.add(new Due(at, order++, event));
    }

    private Endpoint listed(long engine, EndpointState condition, double upSince) {
        int kind = (int) (engine % settings.kinds().size());
        int zone = (int) (engine % Math.max(1, settings.position().zones()));
        return new Endpoint(engine, kind, 1, upSince, condition, zone, (int) (engine / 2 % 3));
    }

    private void scheduleEndpoints() {
        List<Endpoint> list = new ArrayList<>();
        for (long engine = 1; engine <= engineCount; engine++) {
            list.add(listed(engine, EndpointState.READY, engine % 5 == 0 ? START - 500 : 0));
        }
        schedule(START, new EndpointsChanged(true, list));
        for (int i = 0; i < 24; i++) {
            double at = START + random.nextDouble() * ARRIVALS_UNTIL;
            long engine = 1L + random.nextInt(engineCount);
            EndpointState condition = List.of(EndpointState.values()).get(random.nextInt(3));
            schedule(at, new EndpointsChanged(false, List.of(listed(engine, condition, 0))));
            Endpoint restarted = listed(engine, EndpointState.READY, at + 600);
            schedule(at + 700, new EndpointsChanged(false, List.of(restarted)));
        }
        schedule(START + 9_000, new EndpointsChanged(true, list));
        schedule(START + 5_000, new DiscoveryFailed());
        schedule(START + 6_000, new MaintenanceChanged(2, true, START + 6_000));
        schedule(START + 9_500, new MaintenanceChanged(2, false, START + 9_500));
        schedule(START + 7_000, new MaintenanceChanged(engineCount + 9, true, START + 7_000));
        schedule(START + 11_000, new QuotaChanged(0.5));
        schedule(START + 14_000, new QuotaChanged(1));
        silentUntil.put(3L, START + 8_000);
    }

    private void scheduleArrivals() {
        int count = 700;
        for (int request = 1; request <= count; request++) {
            double at = START + random.nextDouble() * ARRIVALS_UNTIL;
            int type = random.nextInt(settings.classes().size());
            long key = random.nextInt(3) == 0 ? 1 + random.nextInt(6) : 0;
            double timeLeft = random.nextInt(25) == 0 ? 0 : 800 + random.nextInt(5_000);
            double cost = random.nextInt(4) == 0 ? 0 : 50 + random.nextInt(700);
            schedule(
                    at,
                    new RequestArrived(
                            request,
                            type,
                            key,
                            timeLeft,
                            cost,
                            random.nextInt(1_500),
                            random.nextInt(6),
                            random.nextInt(9) == 0,
                            random.nextInt(2)));
            if (random.nextInt(20) == 0) {
                schedule(at + random.nextInt(900), new RequestCancelled(request));
            }
        }
    }

    private void schedulePeers() {
        for (int i = 0; i < 60 && settings.limits().capabilities().gossip(); i++) {
            byte[] octets = new byte[random.nextInt(60)];
            random.nextBytes(octets);
            schedule(START + random.nextDouble() * ARRIVALS_UNTIL, new GossipReceived(i % 3, octets));
        }
    }

    private void takeIn(SchedulerEvent event, double now, List<SchedulerEvent> batch) {
        if (event instanceof RequestArrived arrival) {
            requests.put(arrival.request(), new Open(now + arrival.timeLeftMs()));
        }
        batch.add(event);
    }

    private void perform(SchedulerAction action, double now) {
        if (action instanceof SchedulerAction.StartAttempt send) {
            start(send, now);
        } else if (action instanceof SchedulerAction.CancelAttempt cancel) {
            cancel(cancel, now);
        } else if (action instanceof SchedulerAction.StartHealthCheck probe) {
            answerProbe(probe, now);
        } else if (action instanceof SchedulerAction.ScheduleTimer after) {
            schedule(now + after.delayMs(), new TimerFired(after.token()));
        }
    }

    private void start(SchedulerAction.StartAttempt send, double now) {
        Open open = requests.get(send.request());
        int attempt = open.attempts++;
        double service = MEAN_SERVICE * -Math.log(1 - random.nextDouble());
        service *= random.nextInt(12) == 0 ? 12 : 1;
        double silence = silentUntil.getOrDefault(send.engine(), 0.0);
        double end = Math.max(now + 5 + service, silence > now ? silence + service : 0);
        scheduleNotes(send.request(), attempt, now, Math.min(end, open.deadline), silence > now);
        AttemptOutcome outcome = drawOutcome();
        if (end >= open.deadline) {
            end = Math.max(now, open.deadline);
            outcome = TIMEOUT;
        }
        schedule(end, verdict(send.request(), attempt, outcome));
    }

    private void scheduleNotes(long request, int attempt, double from, double until, boolean silent) {
        if (silent) {
            return;
        }
        if (random.nextInt(6) == 0) {
            ProgressKind kind = List.of(ProgressKind.values()).get(1 + random.nextInt(3));
            schedule(from + 3, new AttemptProgress(request, attempt, kind, random.nextInt(300)));
        }
        double every = settings.limits().attempts().progressIntervalMs();
        for (double at = from + every; every > 0 && at < until; at += every) {
            double done = (at - from) / (until - from) * (0.6 + 0.4 * random.nextDouble());
            schedule(at, new AttemptProgress(request, attempt, ProgressKind.RATIO_DONE, done));
        }
        if (random.nextInt(15) == 0) {
            schedule(until - 1, new ResponseStarted(request, attempt));
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

    private AttemptEnded verdict(long request, int attempt, AttemptOutcome outcome) {
        boolean tells = outcome == OK && random.nextBoolean();
        double work = tells ? 40 + random.nextInt(900) : 0;
        double memory = tells ? 20 + random.nextInt(1_800) : 0;
        boolean completed = outcome == OK;
        return new AttemptEnded(request, attempt, outcome, completed, work, memory, new double[0]);
    }

    /** The word of a cancelled attempt's end may cross its own end; the module passes the second one over. */
    private void cancel(SchedulerAction.CancelAttempt cancel, double now) {
        AttemptOutcome outcome = random.nextInt(10) == 0 ? OK : CANCELLED;
        schedule(now + 1 + random.nextInt(40), verdict(cancel.request(), cancel.attempt(), outcome));
    }

    private void answerProbe(SchedulerAction.StartHealthCheck probe, double now) {
        double[] report = new double[REPORT_FIELDS];
        for (int i = 0; i < report.length; i++) {
            report[i] = random.nextDouble() * (i == 0 ? 12 : 1);
        }
        AttemptOutcome outcome = switch (random.nextInt(20)) {
            case 0 -> TIMEOUT;
            case 1 -> REJECTED;
            default -> OK;
        };
        double takes = outcome == TIMEOUT ? 250 : 2 + random.nextInt(20);
        schedule(now + takes, new HealthCheckCompleted(probe.engine(), outcome, takes, report));
    }
}
