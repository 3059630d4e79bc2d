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
 * A day of a whole fleet in simulated time: modules that can't talk, engines whose runs share their cores, a
 * zone that is lost and comes back cold, a zone that is cut off from the others.
 */
final class FleetDay {
    /** Look-ups, reports and loads that must not run twice, as sites of query engines have them. */
    static final List<RequestClass> CLASSES = List.of(
            new RequestClass(
                    new RequestClass.Objective(500, 2, 2500, 1, 0.1),
                    new RequestClass.Repeatability(IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.Workload(false, false, 1)),
            new RequestClass(
                    new RequestClass.Objective(3000, 2.5, 15_000, 12, 0.4),
                    new RequestClass.Repeatability(IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.Workload(false, false, 3)),
            new RequestClass(
                    new RequestClass.Objective(4000, 2.5, 25_000, 15, 0.5),
                    new RequestClass.Repeatability(NON_IDEMPOTENT, ALL, 0, false),
                    new RequestClass.Placement(null, null),
                    new RequestClass.Workload(true, false, 2)));

    private static final double[] MEAN_WORK = {100, 3000, 4000};
    private static final double[] SPREAD = {0.85, 1.0, 0.6};
    private static final double REPORTS = 0.15;
    private static final double RUNAWAYS = 0.065;
    private static final double[] RUNAWAY_TIMES = {8.5, 16.5};
    /** Estimates lie by class. */
    private static final double[] TOLD = {0.7, 0.5, 1};

    private static final int CORES = 8;
    private static final double KNEE = 1.6;
    private static final double THRASH = 0.65;
    private static final double COLD_SHARE = 0.4;
    private static final double COLD_MS = 11_000;
    private static final double FALL_MS = 1500;
    /** By then the list has told all fronts of a start. */
    private static final double TOLD_MS = 4000;

    private static final double FALL_MULTIPLE = 2.5;
    private static final double[] WEIGHTS = {1, 4, 8, 16};

    /**
     * @param load work asked for against what all cores can do
     * @param lost the zone that is lost, or -1
     * @param cut the zone that is cut off from the others, or -1
     * @param bad engines of which one in so many is three times slower; 0: none
     * @param loads part of the requests that must not run twice
     * @param free further attempts that each front has in 10 s, with a fifth of what it takes; 0: no ration
     */
    record Plan(
            int fronts,
            int engines,
            int zones,
            double load,
            double skew,
            int lost,
            int cut,
            int bad,
            double outageMs,
            double lengthMs,
            long seed,
            double loads,
            int free) {
        Plan(
                int fronts,
                int engines,
                int zones,
                double load,
                double skew,
                int lost,
                int cut,
                int bad,
                double outageMs,
                double lengthMs,
                long seed) {
            this(fronts, engines, zones, load, skew, lost, cut, bad, outageMs, lengthMs, seed, 0, 0);
        }
    }

    private record Due(double at, long turn, Runnable task) {}

    private final Plan plan;
    private final Random random;
    private final PriorityQueue<Due> agenda =
            new PriorityQueue<>(Comparator.comparingDouble(Due::at).thenComparingLong(Due::turn));
    private final List<Engine> engines = new ArrayList<>();
    private final List<Host> hosts = new ArrayList<>();
    private double now;
    private long turns;
    private final double start = 100_000;
    /** By second and class: asked, served in time, served late. */
    final TreeMap<Integer, double[][]> seconds = new TreeMap<>();

    double worstCold;
    final Map<String, Integer> outcomes = new TreeMap<>();

    FleetDay(Plan plan) {
        this.plan = plan;
        this.random = new Random(plan.seed);
    }

    private static final class Run {
        final Host host;
        final long request;
        final int attempt;
        final int type;
        double left;
        double rate;
        int priority;

        Run(Host host, long request, int attempt, int type, double left, int priority) {
            this.host = host;
            this.request = request;
            this.attempt = attempt;
            this.type = type;
            this.left = left;
            this.priority = priority;
        }
    }

    private final class Engine {
        final int id;
        final int zone;
        final double speed;
        final List<Run> runs = new ArrayList<>();
        final List<double[]> sent = new ArrayList<>();
        double upSince;
        double at = start;
        int version;
        boolean lost;

        Engine(int id) {
            this.id = id;
            this.zone = id % plan.zones;
            boolean bad = plan.bad > 0 && id % plan.bad == plan.bad / 2;
            this.speed = (0.9 + 0.2 * random.nextDouble()) / (bad ? 3 : 1);
        }

        void moveOn() {
            for (Run r : runs) {
                r.left -= r.rate * (now - at);
            }
            at = now;
        }

        /** Runs share what the cores do, by priority, none more than its threads can use. */
        void share() {
            double threads = runs.stream()
                    .mapToInt(r -> CLASSES.get(r.type).workload().threads())
                    .sum();
            double warmed = COLD_SHARE + (1 - COLD_SHARE) * (now - upSince) / COLD_MS;
            double warm = upSince == 0 ? 1 : Math.min(1, warmed);
            double crowd = Math.max(0, threads / (KNEE * CORES) - 1);
            double cores = CORES / (1 + THRASH * crowd);
            runs.forEach(r -> r.rate = 0);
            for (int round = 0; round < 3 && cores > 1e-9; round++) {
                double weights = 0;
                for (Run r : runs) {
                    int most = CLASSES.get(r.type).workload().threads();
                    weights += r.rate < most ? WEIGHTS[r.priority] * most : 0;
                }
                double before = cores;
                for (Run r : runs) {
                    int most = CLASSES.get(r.type).workload().threads();
                    if (r.rate < most) {
                        double more = Math.min(most - r.rate, before * WEIGHTS[r.priority] * most / weights);
                        r.rate += more;
                        cores -= more;
                    }
                }
            }
            int mine = ++version;
            double next = Double.POSITIVE_INFINITY;
            for (Run r : runs) {
                r.rate *= speed * warm;
                next = Math.min(next, Math.max(0, r.left) / Math.max(1e-9, r.rate));
            }
            if (next < 1e7) {
                in(Math.max(0.01, Math.min(next, 1000)), () -> {
                    if (mine == version) {
                        step();
                    }
                });
            }
        }

        void step() {
            moveOn();
            for (Run r : List.copyOf(runs)) {
                if (r.left <= 1e-6) {
                    runs.remove(r);
                    r.host.ended(r.request, r.attempt, AttemptOutcome.OK, 1);
                }
            }
            share();
        }

        void add(Run r) {
            moveOn();
            runs.add(r);
            if (upSince > 0 && now - upSince > TOLD_MS && now - upSince < COLD_MS) {
                double capacity = CORES * 0.85 * (COLD_SHARE + (1 - COLD_SHARE) * (now - upSince) / COLD_MS);
                sent.add(new double[] {now, MEAN_WORK[r.type]});
                sent.removeIf(s -> s[0] < now - FALL_MS);
                double work = sent.stream().mapToDouble(s -> s[1]).sum();
                worstCold = Math.max(worstCold, work / (FALL_MULTIPLE * capacity * FALL_MS));
            }
            share();
        }

        void drop(Host host, long request, int attempt) {
            moveOn();
            runs.removeIf(r -> r.host == host && r.request == request && r.attempt == attempt);
            share();
        }

        Endpoint listed() {
            return new Endpoint(id + 1, 0, 1, upSince, EndpointState.READY, zone, 0);
        }
    }

    private final class Asked {
        final int type;
        final double at;
        final double deadline;
        final double work;
        final List<Engine> attempts = new ArrayList<>();
        int priority = 1;
        boolean over;
        boolean out;

        Asked(int type, double work) {
            this.type = type;
            this.at = now;
            this.deadline = now + CLASSES.get(type).objective().deadlineMs();
            this.work = work;
        }
    }

    /** What stands round one module. */
    private final class Host {
        final int ordinal;
        final int zone;
        final SpeculativeScheduler module;
        final RuleChecker checker;
        final Map<Long, Asked> open = new HashMap<>();
        final Map<Integer, Double> links = new HashMap<>();
        long ids;

        Host(int ordinal) {
            this.ordinal = ordinal;
            this.zone = ordinal % plan.zones;
            SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                    new SchedulerSettings.Capabilities(true, false, false, true, true, true, false),
                    new SchedulerSettings.AttemptLimits(6, 2000, 0),
                    new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.PAGE));
            SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                    1000,
                    new SchedulerSettings.SlowStartRule(COLD_MS, COLD_SHARE, FALL_MULTIPLE, FALL_MS),
                    0,
                    new SchedulerSettings.RetryBudget(plan.free > 0 ? 10_000 : 0, plan.free, 0.2));
            SchedulerSettings settings = new SchedulerSettings(
                    CLASSES,
                    List.of(new EngineKind(CORES, 16_000)),
                    new SchedulerSettings.FleetPosition(plan.zones, zone, plan.fronts, ordinal),
                    limits,
                    rules,
                    new SchedulerSettings.Reporting(List.of(), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    new SchedulerSettings.Costs(0, 0),
                    new SchedulerSettings.Quotas(List.of(800 * perMs(1)), 1));
            module = new SpeculativeScheduler(settings, plan.seed * 1000 + ordinal);
            checker = new RuleChecker(settings);
        }

        boolean reaches(Engine e) {
            boolean acrossCut = e.zone != zone && (e.zone == plan.cut || zone == plan.cut);
            boolean apart = plan.cut >= 0 && acrossCut && isOutage();
            return !apart && !e.lost;
        }

        void tell(SchedulerEvent event) {
            checker.heard(now, event);
            for (SchedulerAction action : module.decide(now, List.of(event))) {
                checker.did(now, action);
                perform(action);
            }
        }

        void ask(int type) {
            double spread = SPREAD[type];
            double work = MEAN_WORK[type] * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
            double told = work * Math.exp(0.4 * random.nextGaussian()) * TOLD[type];
            long id = ++ids;
            Asked a = new Asked(type, work);
            open.put(id, a);
            row(a)[0]++;
            tell(new SchedulerEvent.RequestArrived(
                    id, type, 0, a.deadline - now, told, 200, random.nextInt(50), false, 0));
        }

        private double[] row(Asked a) {
            int second = (int) ((a.at - start) / 1000);
            return seconds.computeIfAbsent(second, s -> new double[CLASSES.size()][4])[a.type];
        }

        private void perform(SchedulerAction action) {
            if (action instanceof SchedulerAction.ScheduleTimer a) {
                in(a.delayMs(), () -> tell(new SchedulerEvent.TimerFired(a.token())));
            } else if (action instanceof SchedulerAction.SetResourceLimits s) {
                Asked a = open.get(s.request());
                if (a != null) {
                    a.priority = s.priority();
                }
            } else if (action instanceof SchedulerAction.Reject r) {
                Asked a = open.get(r.request());
                String ending = a.attempts.isEmpty() ? "refused unsent " : "refused ";
                outcomes.merge(ending + a.type, 1, Integer::sum);
                a.over = true;
            } else if (action instanceof SchedulerAction.Fail f) {
                outcomes.merge("failed " + open.get(f.request()).type, 1, Integer::sum);
                open.get(f.request()).over = true;
            } else if (action instanceof SchedulerAction.StartAttempt s) {
                send(s);
            } else if (action instanceof SchedulerAction.CancelAttempt c) {
                Asked a = open.get(c.request());
                if (a.out && c.attempt() == a.attempts.size() - 1) {
                    Engine e = a.attempts.get(c.attempt());
                    in(1, () -> e.drop(this, c.request(), c.attempt()));
                    in(6, () -> ended(c.request(), c.attempt(), AttemptOutcome.CANCELLED, 0));
                }
            }
        }

        private void send(SchedulerAction.StartAttempt s) {
            Asked a = open.get(s.request());
            Engine e = engines.get((int) s.engine() - 1);
            int attempt = a.attempts.size();
            a.attempts.add(e);
            a.out = true;
            if (a.deadline - now > 10) {
                in(a.deadline - 10 - now, () -> {
                    if (a.out && a.attempts.size() - 1 == attempt) {
                        e.drop(this, s.request(), attempt);
                        ended(s.request(), attempt, AttemptOutcome.TIMEOUT, 0);
                    }
                });
            }
            boolean linked = links.getOrDefault(e.id, 0.0) > now - 20_000;
            if (!reaches(e)) {
                links.remove(e.id);
                in(
                        linked ? 1100 : 250,
                        () -> ended(
                                s.request(),
                                attempt,
                                linked ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED,
                                0));
                return;
            }
            links.put(e.id, now);
            double plain = a.type == 1 && random.nextDouble() < RUNAWAYS
                    ? a.work * (RUNAWAY_TIMES[0] + RUNAWAY_TIMES[1] * random.nextDouble())
                    : a.work;
            double work = plain * Math.exp(0.1 * random.nextGaussian());
            in(1, () -> {
                if (!reaches(e)) {
                    in(1100, () -> ended(s.request(), attempt, AttemptOutcome.RESET, 0));
                } else if (a.out && a.attempts.size() - 1 == attempt) {
                    e.add(new Run(this, s.request(), attempt, a.type, work, a.priority));
                }
            });
        }

        void ended(long request, int attempt, AttemptOutcome outcome, double delay) {
            Asked a = open.get(request);
            Engine e = a.attempts.get(attempt);
            if (outcome == AttemptOutcome.OK && !reaches(e)) {
                in(1100, () -> ended(request, attempt, AttemptOutcome.RESET, 0));
                return;
            }
            in(delay, () -> {
                if (!a.out || a.attempts.size() - 1 != attempt) {
                    return;
                }
                a.out = false;
                outcomes.merge(outcome + " " + a.type, 1, Integer::sum);
                boolean over = a.over || outcome == AttemptOutcome.OK;
                if (outcome == AttemptOutcome.OK && !a.over) {
                    RequestClass c = CLASSES.get(a.type);
                    double aim = c.objective().latencyMs()
                            + c.objective().latencyPerWork()
                                    * a.work
                                    / c.workload().threads();
                    row(a)[now - a.at <= aim ? 1 : 2]++;
                }
                a.over = over;
                tell(new SchedulerEvent.AttemptEnded(request, attempt, outcome, over, 0, 0, new double[0]));
            });
        }
    }

    private void in(double delay, Runnable task) {
        agenda.add(new Due(now + delay, turns++, task));
    }

    private double perMs(double load) {
        return load * plan.engines * CORES / meanWork();
    }

    private double meanWork() {
        double lookUps = MEAN_WORK[0] * (1 - REPORTS - plan.loads);
        return lookUps + MEAN_WORK[1] * REPORTS + MEAN_WORK[2] * plan.loads;
    }

    private boolean isOutage() {
        return now - start >= plan.lengthMs * 0.3 && now - start < plan.lengthMs * 0.3 + plan.outageMs;
    }

    FleetDay play() {
        now = start;
        for (int i = 0; i < plan.engines; i++) {
            engines.add(new Engine(i));
        }
        for (int i = 0; i < plan.fronts; i++) {
            hosts.add(new Host(i));
        }
        List<Endpoint> list = engines.stream().map(Engine::listed).toList();
        hosts.forEach(h -> in(0, () -> h.tell(new SchedulerEvent.EndpointsChanged(true, list))));
        double perMs = perMs(plan.load);
        double[] parts = new double[plan.fronts];
        for (int i = 0; i < parts.length; i++) {
            parts[i] = Math.exp(plan.skew * random.nextGaussian()) * (i % 10 == 3 ? 3 : 1);
        }
        double all = Arrays.stream(parts).sum();
        for (Host h : hosts) {
            arrivals(h, perMs * parts[h.ordinal] / all);
        }
        outage();
        double end = start + plan.lengthMs + 16_000;
        while (!agenda.isEmpty() && agenda.peek().at <= end) {
            Due due = agenda.poll();
            now = due.at;
            due.task.run();
        }
        return this;
    }

    private void arrivals(Host h, double perMs) {
        in(-Math.log(1 - random.nextDouble()) / perMs, () -> {
            if (now < start + plan.lengthMs) {
                double draw = random.nextDouble();
                h.ask(draw < REPORTS ? 1 : draw < REPORTS + plan.loads ? 2 : 0);
                arrivals(h, perMs);
            }
        });
    }

    private void outage() {
        if (plan.lost < 0) {
            return;
        }
        List<Engine> gone = engines.stream().filter(e -> e.zone == plan.lost).toList();
        in(
                plan.lengthMs * 0.3,
                () -> gone.forEach(e -> {
                    e.moveOn();
                    for (Run r : List.copyOf(e.runs)) {
                        in(1100, () -> r.host.ended(r.request, r.attempt, AttemptOutcome.RESET, 0));
                    }
                    e.runs.clear();
                    e.share();
                    e.lost = true;
                }));
        in(
                plan.lengthMs * 0.3 + plan.outageMs,
                () -> gone.forEach(e -> {
                    e.lost = false;
                    e.at = now;
                    e.upSince = now;
                    hosts.forEach(h -> in(
                            TOLD_MS * (1 + random.nextDouble()) / 2,
                            () -> h.tell(new SchedulerEvent.EndpointsChanged(false, List.of(e.listed())))));
                }));
    }

    /** Returns the part of what was asked from one second to another that was served, late or not. */
    double served(int type, int from, int to) {
        double[] sum = new double[3];
        seconds.subMap(from, to).values().forEach(rows -> {
            for (int i = 0; i < sum.length; i++) {
                sum[i] += rows[type][i];
            }
        });
        return (sum[1] + sum[2]) / Math.max(1, sum[0]);
    }

    /**
     * Plays days with a zone lost and one cut off, and prints what was served by class.
     *
     * @param args numbers of fronts, engines, zones and seeds, and the load
     */
    public static void main(String[] args) {
        double[] n = Arrays.stream(args).mapToDouble(Double::parseDouble).toArray();
        for (int seed = 1; seed <= n[3]; seed++) {
            FleetDay day = new FleetDay(new Plan(
                            (int) n[0],
                            (int) n[1],
                            (int) n[2],
                            n[4],
                            0.3,
                            0 /* lost */,
                            1 /* cut */,
                            8,
                            5000,
                            30_000,
                            seed))
                    .play();
            int last = day.seconds.lastKey() + 1;
            System.out.printf(
                    "seed %d: look-ups %.3f, reports %.3f; cold budget used %.2f; %s%n",
                    seed, day.served(0, 0, last), day.served(1, 0, last), day.worstCold, day.outcomes);
        }
    }
}
