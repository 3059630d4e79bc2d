package lineward.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * What the mechanisms of one scheduler share: its settings, the state of engines, requests and classes, the
 * time of the present turn and the actions decided in it. Engines and requests are always walked in the same
 * order.
 */
final class SchedulerContext {
    private static final double LOG_INTERVAL_MS = 1_000;

    final SchedulerSettings settings;
    final SplittableRandom random;
    final TreeMap<Long, Engine> engines = new TreeMap<>();
    final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
    final List<ClassState> classes = new ArrayList<>();
    final FleetServiceTimes fleet = new FleetServiceTimes();

    /** Cores of all ready engines. */
    private double readyCores = 1;
    /** Mean work of a request on one of its threads, by which a load report's requests count as threads. */
    private double threadsPerRequest = 1;

    private List<SchedulerAction> actions = new ArrayList<>();
    private double nowMs;
    private double startedMs = Double.NaN;
    private double lastLogMs = Double.NEGATIVE_INFINITY;

    SchedulerContext(SchedulerSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        settings.classes().forEach(requestClass -> classes.add(new ClassState(requestClass, fleet)));
    }

    void beginDecision(double now) {
        nowMs = now;
        startedMs = Double.isNaN(startedMs) ? now : startedMs;
        actions = new ArrayList<>();
    }

    List<SchedulerAction> endDecision() {
        return actions;
    }

    double nowMs() {
        return nowMs;
    }

    /** Returns the time of the first turn. */
    double startedMs() {
        return startedMs;
    }

    double readyCores() {
        return readyCores;
    }

    double threadsPerRequest() {
        return threadsPerRequest;
    }

    void emit(SchedulerAction action) {
        actions.add(action);
    }

    /** Asks for a line in the log, unless one was written a moment ago. */
    void log(String text) {
        if (nowMs - lastLogMs >= LOG_INTERVAL_MS) {
            lastLogMs = nowMs;
            emit(new SchedulerAction.LogMessage(text));
        }
    }

    /** Returns the attempt if it is in flight, else null: what is reported of others is ignored. */
    Attempt attemptInFlight(long requestId, int attempt) {
        TrackedRequest request = requests.get(requestId);
        if (request == null || attempt >= request.attempts.size()) {
            return null;
        }
        Attempt found = request.attempts.get(attempt);
        return found.inFlight ? found : null;
    }

    /** Returns the engine, which is created if it is not known yet. */
    Engine engine(long id) {
        double overloadWindowMs = settings.rules().slowStart().windowMs();
        return engines.computeIfAbsent(id, number -> new Engine(number, overloadWindowMs));
    }

    void countReadyCores() {
        readyCores = engines.values().stream()
                .filter(engine -> engine.ready)
                .mapToDouble(engine -> engine.cores)
                .sum();
    }

    /** Recomputes slowdowns and curves of all classes. */
    void recomputeServiceTimes() {
        Map<ClassState, List<Double>> inFlight = firstRunsInFlight();
        fleet.recomputeSlowdown(nowMs);
        for (ClassState type : classes) {
            type.model.recompute(nowMs, inFlight.get(type));
            type.demand.decay(nowMs);
        }
        fleet.decay(nowMs);
    }

    private Map<ClassState, List<Double>> firstRunsInFlight() {
        Map<ClassState, List<Double>> ratios = new LinkedHashMap<>();
        classes.forEach(type -> ratios.put(type, new ArrayList<>()));
        for (Engine engine : engines.values()) {
            for (Attempt attempt : engine.attempts) {
                if (attempt.firstRun && !attempt.cancelRequested) {
                    TrackedRequest request = attempt.request;
                    ratios.get(request.type).add(attempt.runTimeMs(nowMs) / request.workUnitMs);
                }
            }
        }
        return ratios;
    }

    /** Recomputes what is asked for, by class. */
    void recomputeDemand() {
        double allWork =
                classes.stream().mapToDouble(type -> type.demand.workMs()).sum();
        double allValue = classes.stream().mapToDouble(SchedulerContext::value).sum();
        for (ClassState type : classes) {
            double workRatio = type.demand.workMs() / Math.max(1, allWork);
            type.demand.setRatios(workRatio, value(type) / Math.max(1e-9, allValue));
            type.demand.setReachableCores(reachableCores(type));
        }
        double perThread =
                classes.stream().mapToDouble(SchedulerContext::workPerThread).sum();
        threadsPerRequest = allWork <= 0 ? 1 : allWork / perThread;
    }

    private static double value(ClassState type) {
        return type.demand.requests() * type.settings.objective().priorityWeight();
    }

    private static double workPerThread(ClassState type) {
        return type.demand.workMs() / type.settings.workload().threads();
    }

    private double reachableCores(ClassState type) {
        return engines.values().stream()
                .filter(engine -> engine.ready && type.settings.placement().allows(engine.endpoint))
                .mapToDouble(engine -> engine.cores)
                .sum();
    }
}
