package lineward.scheduling;

import static lineward.scheduling.DeduplicationScope.ALL;
import static lineward.scheduling.Idempotence.IDEMPOTENT;
import static lineward.scheduling.Idempotence.NON_IDEMPOTENT;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import lineward.scheduling.execution.SpeculativeScheduler;

/**
 * Simulates a fleet: front ends without gossip, engines whose runs share their cores, a zone that fails and
 * restarts, and a zone that is partitioned from the others. A day is one such simulation.
 */
final class FleetDay {
    /** Lookups, reports, and loads that are not idempotent. */
    static final List<RequestClass> CLASSES = List.of(
            new RequestClass(
                    new RequestClass.Objective(500, 2, 2500, 1, 0.1),
                    new RequestClass.Repeatability(IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.ExecutionProfile(false, false, 1)),
            new RequestClass(
                    new RequestClass.Objective(3000, 2.5, 15_000, 12, 0.4),
                    new RequestClass.Repeatability(IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.ExecutionProfile(false, false, 3)),
            new RequestClass(
                    new RequestClass.Objective(4000, 2.5, 25_000, 15, 0.5),
                    new RequestClass.Repeatability(NON_IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.ExecutionProfile(true, false, 2)));

    private static final double[] MEAN_WORK_MS = {100, 3000, 4000};
    private static final double[] WORK_LOG_DEVIATION = {0.85, 1.0, 0.6};
    private static final double REPORT_RATIO = 0.15;
    /** Fraction of the attempts of reports that need far more work than the request has. */
    private static final double RUNAWAY_RATIO = 0.065;
    /** Minimum and range of the factor by which such an attempt needs more work, uniformly distributed. */
    private static final double[] RUNAWAY_FACTORS = {8.5, 16.5};
    /** Median ratio of the estimate to the actual work, by class. */
    private static final double[] ESTIMATE_RATIO = {0.7, 0.5, 1};

    private static final int CORES = 8;
    private static final double SATURATION_THREADS_PER_CORE = 1.6;
    private static final double OVERLOAD_SLOWDOWN = 0.65;
    private static final double INITIAL_CAPACITY_RATIO = 0.4;
    private static final double WARMUP_MS = 11_000;
    private static final double OVERLOAD_WINDOW_MS = 1500;
    /** Time within which service discovery notifies all front ends of an engine's start. */
    private static final double MAX_DISCOVERY_DELAY_MS = 4000;

    private static final double OVERLOAD_FACTOR = 2.5;
    private static final double[] PRIORITY_WEIGHTS = {1, 4, 8, 16};

    /**
     * Parameters of a simulation.
     *
     * @param load requested work relative to the capacity of all cores
     * @param skew standard deviation of the logarithm of the front ends' numbers of requests; besides, one
     *     front end in ten gets three times as many
     * @param failedZone the zone that fails, or -1
     * @param partitionedZone the zone that is partitioned from the others, or -1
     * @param slowEngineInterval one engine in this many is three times slower; 0: none
     * @param outageMs duration of the failure and of the partition, which start after 0.3 of the period in
     *     which requests arrive
     * @param arrivalPeriodMs duration of that period
     * @param loadRequestFraction fraction of the requests that are loads
     * @param retryBudget retries of each front end in 10 s, besides a fifth of its requests; 0: no limit
     */
    record Plan(
            int frontEnds,
            int engines,
            int zones,
            double load,
            double skew,
            int failedZone,
            int partitionedZone,
            int slowEngineInterval,
            double outageMs,
            double arrivalPeriodMs,
            long seed,
            double loadRequestFraction,
            int retryBudget) {
        Plan(
                int frontEnds,
                int engines,
                int zones,
                double load,
                double skew,
                int failedZone,
                int partitionedZone,
                int slowEngineInterval,
                double outageMs,
                double arrivalPeriodMs,
                long seed) {
            this(
                    frontEnds,
                    engines,
                    zones,
                    load,
                    skew,
                    failedZone,
                    partitionedZone,
                    slowEngineInterval,
                    outageMs,
                    arrivalPeriodMs,
                    seed,
                    0,
                    0);
        }
    }

    private record ScheduledTask(double atMs, long order, Runnable task) {}

    private final Plan plan;
    private final Random random;
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            Comparator.comparingDouble(ScheduledTask::atMs).thenComparingLong(ScheduledTask::order));
    private final List<Engine> engines = new ArrayList<>();
    private final List<FrontEnd> frontEnds = new ArrayList<>();
    private double nowMs;
    private long nextOrder;
    private final double startMs = 100_000;
    /** By second of arrival and by class: requests, answers in time, late answers. */
    final TreeMap<Integer, double[][]> countsBySecond = new TreeMap<>();

    double maxSlowStartBudgetRatio;
    final Map<String, Integer> outcomes = new TreeMap<>();

    FleetDay(Plan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed);
    }

    private static final class RunningAttempt {
        final FrontEnd frontEnd;
        final long requestId;
        final int attemptIndex;
        final int classIndex;
        double remainingWorkMs;
        double rate;
        int priority;

        RunningAttempt(
                FrontEnd frontEnd,
                long requestId,
                int attemptIndex,
                int classIndex,
                double remainingWorkMs,
                int priority) {
            this.frontEnd = frontEnd;
            this.requestId = requestId;
            this.attemptIndex = attemptIndex;
            this.classIndex = classIndex;
            this.remainingWorkMs = remainingWorkMs;
            this.priority = priority;
        }

        void reset() {
            frontEnd.attemptEnded(requestId, attemptIndex, AttemptOutcome.RESET, 0);
        }

        boolean isAttempt(FrontEnd ofFrontEnd, long ofRequest, int number) {
            return frontEnd == ofFrontEnd && requestId == ofRequest && attemptIndex == number;
        }
    }

    private final class Engine {
        final int id;
        final int zone;
        final double speed;
        final List<RunningAttempt> runs = new ArrayList<>();
        final List<double[]> sentWork = new ArrayList<>();
        double startedAtMs;
        double advancedToMs = startMs;
        int scheduleVersion;
        boolean failed;

        Engine(int id) {
            this.id = id;
            this.zone = id % plan.zones;
            int interval = plan.slowEngineInterval;
            boolean slow = interval > 0 && id % interval == interval / 2;
            this.speed = (0.9 + 0.2 * random.nextDouble()) / (slow ? 3 : 1);
        }

        void advanceRuns() {
            for (RunningAttempt run : runs) {
                run.remainingWorkMs -= run.rate * (nowMs - advancedToMs);
            }
            advancedToMs = nowMs;
        }

        private double warmedUpRatio() {
            return INITIAL_CAPACITY_RATIO + (1 - INITIAL_CAPACITY_RATIO) * (nowMs - startedAtMs) / WARMUP_MS;
        }

        /**
         * Divides the cores among the runs by priority and threads, with at most one core per thread, and
         * schedules the next step.
         */
        void shareCores() {
            double threads = runs.stream()
                    .mapToInt(run ->
                            CLASSES.get(run.classIndex).executionProfile().threads())
                    .sum();
            double capacityRatio = startedAtMs == 0 ? 1 : Math.min(1, warmedUpRatio());
            double overload = Math.max(0, threads / (SATURATION_THREADS_PER_CORE * CORES) - 1);
            double cores = CORES / (1 + OVERLOAD_SLOWDOWN * overload);
            runs.forEach(run -> run.rate = 0);
            for (int round = 0; round < 3 && cores > 1e-9; round++) {
                double totalWeight = 0;
                for (RunningAttempt run : runs) {
                    int maxRate = CLASSES.get(run.classIndex).executionProfile().threads();
                    totalWeight += run.rate < maxRate ? PRIORITY_WEIGHTS[run.priority] * maxRate : 0;
                }
                double roundCores = cores;
                for (RunningAttempt run : runs) {
                    int maxRate = CLASSES.get(run.classIndex).executionProfile().threads();
                    if (run.rate < maxRate) {
                        double share = roundCores * PRIORITY_WEIGHTS[run.priority] * maxRate / totalWeight;
                        double added = Math.min(maxRate - run.rate, share);
                        run.rate += added;
                        cores -= added;
                    }
                }
            }
            int scheduledVersion = ++scheduleVersion;
            double nextEndMs = Double.POSITIVE_INFINITY;
            for (RunningAttempt run : runs) {
                run.rate *= speed * capacityRatio;
                nextEndMs = Math.min(nextEndMs, Math.max(0, run.remainingWorkMs) / Math.max(1e-9, run.rate));
            }
            if (nextEndMs < 1e7) {
                schedule(Math.max(0.01, Math.min(nextEndMs, 1000)), () -> {
                    if (scheduledVersion == scheduleVersion) {
                        step();
                    }
                });
            }
        }

        void step() {
            advanceRuns();
            for (RunningAttempt run : List.copyOf(runs)) {
                if (run.remainingWorkMs <= 1e-6) {
                    runs.remove(run);
                    run.frontEnd.attemptEnded(run.requestId, run.attemptIndex, AttemptOutcome.OK, 1);
                }
            }
            shareCores();
        }

        void add(RunningAttempt run) {
            advanceRuns();
            runs.add(run);
            double ageMs = nowMs - startedAtMs;
            if (startedAtMs > 0 && ageMs > MAX_DISCOVERY_DELAY_MS && ageMs < WARMUP_MS) {
                double capacity = CORES * 0.85 * warmedUpRatio();
                sentWork.add(new double[] {nowMs, MEAN_WORK_MS[run.classIndex]});
                sentWork.removeIf(start -> start[0] < nowMs - OVERLOAD_WINDOW_MS);
                double work = sentWork.stream().mapToDouble(start -> start[1]).sum();
                double ratio = work / (OVERLOAD_FACTOR * capacity * OVERLOAD_WINDOW_MS);
                maxSlowStartBudgetRatio = Math.max(maxSlowStartBudgetRatio, ratio);
            }
            shareCores();
        }

        void remove(FrontEnd frontEnd, long request, int attempt) {
            advanceRuns();
            runs.removeIf(run -> run.isAttempt(frontEnd, request, attempt));
            shareCores();
        }

        SchedulerEvent endpointUpdate() {
            return new SchedulerEvent.EndpointsChanged(false, List.of(endpoint()));
        }

        Endpoint endpoint() {
            return new Endpoint(id + 1, 0, 1, startedAtMs, EndpointState.READY, zone, 0);
        }
    }

    private final class OpenRequest {
        final int classIndex;
        final double arrivedAtMs;
        final double deadline;
        final double workMs;
        final List<Engine> attempts = new ArrayList<>();
        int priority = 1;
        boolean completed;
        boolean inFlight;

        OpenRequest(int classIndex, double workMs) {
            this.classIndex = classIndex;
            this.arrivedAtMs = nowMs;
            this.deadline = nowMs + CLASSES.get(classIndex).objective().deadlineMs();
            this.workMs = workMs;
        }
    }

    /** One front end: its scheduler, open requests and connections. */
    private final class FrontEnd {
        final int ordinal;
        final int zone;
        final SpeculativeScheduler scheduler;
        final RuleChecker checker;
        final Map<Long, OpenRequest> openRequests = new HashMap<>();
        final Map<Integer, Double> connectionUsedMs = new HashMap<>();
        long lastRequestId;

        FrontEnd(int ordinal) {
            this.ordinal = ordinal;
            this.zone = ordinal % plan.zones;
            SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                    new SchedulerSettings.Capabilities(true, false, false, true, true, true, false),
                    new SchedulerSettings.AttemptLimits(6, 2000, 0),
                    new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.PAGE));
            double budgetWindowMs = plan.retryBudget > 0 ? 10_000 : 0;
            SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                    1000,
                    new SchedulerSettings.SlowStartRule(
                            WARMUP_MS, INITIAL_CAPACITY_RATIO, OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS),
                    0,
                    new SchedulerSettings.RetryBudget(budgetWindowMs, plan.retryBudget, 0.2));
            SchedulerSettings settings = new SchedulerSettings(
                    CLASSES,
                    List.of(new EngineKind(CORES, 16_000)),
                    new SchedulerSettings.FleetPosition(plan.zones, zone, plan.frontEnds, ordinal),
                    limits,
                    rules,
                    new SchedulerSettings.LoadReporting(List.of(), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    new SchedulerSettings.MessageCosts(0, 0),
                    new SchedulerSettings.TenantQuotas(List.of(800 * requestsPerMs(1)), 1));
            scheduler = new SpeculativeScheduler(settings, plan.seed * 1000 + ordinal);
            checker = new RuleChecker(settings);
        }

        boolean reaches(Engine engine) {
            int partition = plan.partitionedZone;
            boolean acrossPartition = engine.zone != zone && (engine.zone == partition || zone == partition);
            boolean partitioned = partition >= 0 && acrossPartition && isOutage();
            return !partitioned && !engine.failed;
        }

        void receive(SchedulerEvent event) {
            checker.onEvent(nowMs, event);
            for (SchedulerAction action : scheduler.decide(nowMs, List.of(event))) {
                checker.onAction(nowMs, action);
                perform(action);
            }
        }

        void requestArrives(int type) {
            double logDeviation = WORK_LOG_DEVIATION[type];
            double work = MEAN_WORK_MS[type]
                    * Math.exp(logDeviation * random.nextGaussian() - logDeviation * logDeviation / 2);
            double estimatedWork = work * Math.exp(0.4 * random.nextGaussian()) * ESTIMATE_RATIO[type];
            long id = ++lastRequestId;
            OpenRequest request = new OpenRequest(type, work);
            openRequests.put(id, request);
            counts(request)[0]++;
            receive(new SchedulerEvent.RequestArrived(
                    id, type, 0, request.deadline - nowMs, estimatedWork, 200, random.nextInt(50), false, 0));
        }

        private double[] counts(OpenRequest request) {
            int second = (int) ((request.arrivedAtMs - startMs) / 1000);
            return countsBySecond
                    .computeIfAbsent(second, newSecond -> new double[CLASSES.size()][4])[request.classIndex];
        }

        private void perform(SchedulerAction action) {
            if (action instanceof SchedulerAction.ScheduleTimer timer) {
                schedule(timer.delayMs(), () -> receive(new SchedulerEvent.TimerFired(timer.token())));
            } else if (action instanceof SchedulerAction.SetResourceLimits limits) {
                OpenRequest request = openRequests.get(limits.requestId());
                if (request != null) {
                    request.priority = limits.priority();
                }
            } else if (action instanceof SchedulerAction.Reject rejected) {
                OpenRequest request = openRequests.get(rejected.requestId());
                String ending = request.attempts.isEmpty() ? "rejected unsent " : "rejected ";
                outcomes.merge(ending + request.classIndex, 1, Integer::sum);
                request.completed = true;
            } else if (action instanceof SchedulerAction.Fail failed) {
                outcomes.merge("failed " + openRequests.get(failed.requestId()).classIndex, 1, Integer::sum);
                openRequests.get(failed.requestId()).completed = true;
            } else if (action instanceof SchedulerAction.StartAttempt start) {
                startAttempt(start);
            } else if (action instanceof SchedulerAction.CancelAttempt cancelled) {
                OpenRequest request = openRequests.get(cancelled.requestId());
                if (request.inFlight && cancelled.attempt() == request.attempts.size() - 1) {
                    Engine engine = request.attempts.get(cancelled.attempt());
                    schedule(1, () -> engine.remove(this, cancelled.requestId(), cancelled.attempt()));
                    schedule(
                            6,
                            () -> attemptEnded(
                                    cancelled.requestId(), cancelled.attempt(), AttemptOutcome.CANCELLED, 0));
                }
            }
        }

        private void startAttempt(SchedulerAction.StartAttempt start) {
            OpenRequest request = openRequests.get(start.requestId());
            Engine engine = engines.get((int) start.engine() - 1);
            int attempt = request.attempts.size();
            request.attempts.add(engine);
            request.inFlight = true;
            if (request.deadline - nowMs > 10) {
                schedule(request.deadline - 10 - nowMs, () -> {
                    if (request.inFlight && request.attempts.size() - 1 == attempt) {
                        engine.remove(this, start.requestId(), attempt);
                        attemptEnded(start.requestId(), attempt, AttemptOutcome.TIMEOUT, 0);
                    }
                });
            }
            boolean connected = connectionUsedMs.getOrDefault(engine.id, 0.0) > nowMs - 20_000;
            if (!reaches(engine)) {
                connectionUsedMs.remove(engine.id);
                schedule(
                        connected ? 1100 : 250,
                        () -> attemptEnded(
                                start.requestId(),
                                attempt,
                                connected ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED,
                                0));
                return;
            }
            connectionUsedMs.put(engine.id, nowMs);
            double baseWork = request.classIndex == 1 && random.nextDouble() < RUNAWAY_RATIO
                    ? request.workMs * (RUNAWAY_FACTORS[0] + RUNAWAY_FACTORS[1] * random.nextDouble())
                    : request.workMs;
            double work = baseWork * Math.exp(0.1 * random.nextGaussian());
            schedule(1, () -> {
                if (!reaches(engine)) {
                    schedule(1100, () -> attemptEnded(start.requestId(), attempt, AttemptOutcome.RESET, 0));
                } else if (request.inFlight && request.attempts.size() - 1 == attempt) {
                    engine.add(new RunningAttempt(
                            this, start.requestId(), attempt, request.classIndex, work, request.priority));
                }
            });
        }

        void attemptEnded(long requestId, int attempt, AttemptOutcome outcome, double delayMs) {
            OpenRequest request = openRequests.get(requestId);
            Engine engine = request.attempts.get(attempt);
            if (outcome == AttemptOutcome.OK && !reaches(engine)) {
                schedule(1100, () -> attemptEnded(requestId, attempt, AttemptOutcome.RESET, 0));
                return;
            }
            schedule(delayMs, () -> {
                if (!request.inFlight || request.attempts.size() - 1 != attempt) {
                    return;
                }
                request.inFlight = false;
                outcomes.merge(outcome + " " + request.classIndex, 1, Integer::sum);
                boolean completed = request.completed || outcome == AttemptOutcome.OK;
                if (outcome == AttemptOutcome.OK && !request.completed) {
                    RequestClass requestClass = CLASSES.get(request.classIndex);
                    double objectiveMs = requestClass.objective().latencyMs()
                            + requestClass.objective().latencyPerRunTime()
                                    * request.workMs
                                    / requestClass.executionProfile().threads();
                    counts(request)[nowMs - request.arrivedAtMs <= objectiveMs ? 1 : 2]++;
                }
                request.completed = completed;
                double[] none = {};
                receive(new SchedulerEvent.AttemptEnded(requestId, attempt, outcome, completed, 0, 0, none));
            });
        }
    }

    private void schedule(double delayMs, Runnable task) {
        tasks.add(new ScheduledTask(nowMs + delayMs, nextOrder++, task));
    }

    private double requestsPerMs(double load) {
        return load * plan.engines * CORES / meanWorkMs();
    }

    private double meanWorkMs() {
        double lookups = MEAN_WORK_MS[0] * (1 - REPORT_RATIO - plan.loadRequestFraction);
        return lookups + MEAN_WORK_MS[1] * REPORT_RATIO + MEAN_WORK_MS[2] * plan.loadRequestFraction;
    }

    private boolean isOutage() {
        return nowMs - startMs >= plan.arrivalPeriodMs * 0.3
                && nowMs - startMs < plan.arrivalPeriodMs * 0.3 + plan.outageMs;
    }

    FleetDay run() {
        nowMs = startMs;
        for (int i = 0; i < plan.engines; i++) {
            engines.add(new Engine(i));
        }
        for (int i = 0; i < plan.frontEnds; i++) {
            frontEnds.add(new FrontEnd(i));
        }
        List<Endpoint> endpoints = engines.stream().map(Engine::endpoint).toList();
        SchedulerEvent listed = new SchedulerEvent.EndpointsChanged(true, endpoints);
        frontEnds.forEach(frontEnd -> schedule(0, () -> frontEnd.receive(listed)));
        double requestsPerMs = requestsPerMs(plan.load);
        double[] trafficWeights = new double[plan.frontEnds];
        for (int i = 0; i < trafficWeights.length; i++) {
            trafficWeights[i] = Math.exp(plan.skew * random.nextGaussian()) * (i % 10 == 3 ? 3 : 1);
        }
        double totalWeight = Arrays.stream(trafficWeights).sum();
        for (FrontEnd frontEnd : frontEnds) {
            scheduleArrivals(frontEnd, requestsPerMs * trafficWeights[frontEnd.ordinal] / totalWeight);
        }
        scheduleOutage();
        double end = startMs + plan.arrivalPeriodMs + 16_000;
        while (!tasks.isEmpty() && tasks.peek().atMs <= end) {
            ScheduledTask next = tasks.poll();
            nowMs = next.atMs;
            next.task.run();
        }
        return this;
    }

    private void scheduleArrivals(FrontEnd frontEnd, double requestsPerMs) {
        schedule(-Math.log(1 - random.nextDouble()) / requestsPerMs, () -> {
            if (nowMs < startMs + plan.arrivalPeriodMs) {
                double draw = random.nextDouble();
                frontEnd.requestArrives(
                        draw < REPORT_RATIO ? 1 : draw < REPORT_RATIO + plan.loadRequestFraction ? 2 : 0);
                scheduleArrivals(frontEnd, requestsPerMs);
            }
        });
    }

    private void scheduleOutage() {
        if (plan.failedZone < 0) {
            return;
        }
        List<Engine> failedEngines =
                engines.stream().filter(e -> e.zone == plan.failedZone).toList();
        schedule(
                plan.arrivalPeriodMs * 0.3,
                () -> failedEngines.forEach(e -> {
                    e.advanceRuns();
                    for (RunningAttempt run : List.copyOf(e.runs)) {
                        schedule(1100, run::reset);
                    }
                    e.runs.clear();
                    e.shareCores();
                    e.failed = true;
                }));
        schedule(
                plan.arrivalPeriodMs * 0.3 + plan.outageMs,
                () -> failedEngines.forEach(e -> {
                    e.failed = false;
                    e.advancedToMs = nowMs;
                    e.startedAtMs = nowMs;
                    frontEnds.forEach(frontEnd -> schedule(
                            MAX_DISCOVERY_DELAY_MS * (1 + random.nextDouble()) / 2,
                            () -> frontEnd.receive(e.endpointUpdate())));
                }));
    }

    /**
     * Returns the fraction of the requests that were answered, late or not, among those of one class that
     * arrived from second {@code from} to second {@code to}, exclusive.
     */
    double servedRequestFraction(int classIndex, int from, int to) {
        double[] sum = new double[3];
        countsBySecond.subMap(from, to).values().forEach(rows -> {
            for (int i = 0; i < sum.length; i++) {
                sum[i] += rows[classIndex][i];
            }
        });
        return (sum[1] + sum[2]) / Math.max(1, sum[0]);
    }

    /**
     * Runs simulations with a failed and a partitioned zone, and prints the fraction of answered requests by
     * class.
     *
     * @param args numbers of front ends, engines, zones and seeds, and the load
     */
    public static void main(String[] args) {
        double[] parameters =
                Arrays.stream(args).mapToDouble(Double::parseDouble).toArray();
        for (int seed = 1; seed <= parameters[3]; seed++) {
            FleetDay day = new FleetDay(new Plan(
                            (int) parameters[0],
                            (int) parameters[1],
                            (int) parameters[2],
                            parameters[4],
                            0.3,
                            0 /* failed zone */,
                            1 /* partitioned zone */,
                            8,
                            5000,
                            30_000,
                            seed))
                    .run();
            int last = day.countsBySecond.lastKey() + 1;
            double lookups = day.servedRequestFraction(0, 0, last);
            double reports = day.servedRequestFraction(1, 0, last);
            System.out.printf(
                    "seed %d: lookups %.3f, reports %.3f; slow-start budget used %.2f; %s%n",
                    seed, lookups, reports, day.maxSlowStartBudgetRatio, day.outcomes);
        }
    }
}
