package lineward.scheduling;

/**
 * Selects the engine of an attempt: the least loaded of those that may take it, with ties broken at random.
 */
final class EngineSelector {
    /** Load by which engines of one kind differ unseen: the spread that chance alone makes. */
    private static final double UNSEEN_SPREAD = 0.3;
    /** Spread left where all load is seen: breaks ties. */
    private static final double TIE_SPREAD = 0.01;
    /** Least ratio of an engine's cores that counts as free for a class that may run anywhere. */
    private static final double MIN_FREE_RATIO = 0.05;
    /** Load added for sending where a load holds the table group, or a load onto readers. */
    private static final double GROUP_CONFLICT_LOAD = 1.5;
    /** Load of an attempt beside its threads, in cores: spreads attempts of few threads. */
    private static final double BASE_LOAD_RATIO = 0.3;
    /** Load added where memory is short, so that it counts as much as cores. */
    private static final double MEMORY_BASE_LOAD = 0.3;

    private static final double MEMORY_WEIGHT = 1.2;
    /** Load added for an engine in another zone. */
    private static final double OTHER_ZONE_LOAD = 0.02;
    /** Keeps random draws away from 0 and 1, where their logarithms have no value. */
    private static final double DRAW_RANGE = 0.999999;

    private static final double DRAW_OFFSET = 5e-7;
    /** A health check in flight for longer keeps requests away from its engine. */
    private static final double MAX_HEALTH_CHECK_MS = 25;

    private final SchedulerContext context;
    private final ConcurrencyLimits limits;
    private final RetryPolicy retries;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;
    private final LoadReports reports;
    private final EngineCapacity capacity;

    EngineSelector(
            SchedulerContext context,
            ConcurrencyLimits limits,
            RetryPolicy retries,
            OutlierDetector outliers,
            SlowStart slowStart,
            LoadReports reports,
            EngineCapacity capacity) {
        this.context = context;
        this.limits = limits;
        this.retries = retries;
        this.outliers = outliers;
        this.slowStart = slowStart;
        this.reports = reports;
        this.capacity = capacity;
    }

    /** Returns the engine for the request's next attempt, or null if none has capacity for it now. */
    Engine selectEngine(TrackedRequest request) {
        int allowed = 0;
        int healthy = 0;
        for (Engine engine : context.engines.values()) {
            if (RetryPolicy.mayRunOn(request, engine)) {
                allowed++;
                healthy += engine.ejected ? 0 : 1;
            }
        }
        boolean useEjected = outliers.mustUseEjected(healthy, allowed);
        boolean withinQuota = limits.withinFleetQuota(request, engine -> useEjected || !engine.ejected);
        // Until the next dispatch: what is sent meanwhile only takes capacity.
        request.type.dispatchPaused = !withinQuota;
        return withinQuota ? leastLoaded(request, useEjected, allowed) : null;
    }

    private Engine leastLoaded(TrackedRequest request, boolean useEjected, int allowed) {
        Engine best = null;
        double bestScore = Double.POSITIVE_INFINITY;
        for (Engine engine : context.engines.values()) {
            boolean probe = outliers.mayProbe(engine, request);
            boolean usable = !engine.ejected || probe || (useEjected && outliers.isDueForProbe(engine));
            if (isCandidate(engine, request, usable, allowed)) {
                double spread = spread(request.type, engine);
                double score = mustBeUsed(engine, probe && !useEjected)
                        ? Double.NEGATIVE_INFINITY
                        : loadScore(request, engine) - spread;
                if (score < bestScore) {
                    bestScore = score;
                    best = engine;
                }
            }
        }
        return best;
    }

    private boolean isCandidate(Engine engine, TrackedRequest request, boolean usable, int allowed) {
        boolean triedBefore = request.triedEngines.contains(engine) && allowed > request.triedEngines.size();
        return usable
                && !isHealthCheckOverdue(engine)
                && !triedBefore
                && limits.hasCapacity(engine, request)
                && retries.mayStart(request, engine);
    }

    private boolean isHealthCheckOverdue(Engine engine) {
        double startedMs = engine.healthCheckStartedMs;
        return startedMs > 0 && context.nowMs() - startedMs >= MAX_HEALTH_CHECK_MS;
    }

    /** A cold engine never looks best; what was released from maintenance must be used all the same. */
    private static boolean mustBeUsed(Engine engine, boolean probe) {
        return probe || (engine.awaitingFirstAnswer && engine.attempts.isEmpty());
    }

    /** Draws by how much an engine looks better than it is seen to be (Gumbel noise, by free capacity). */
    private double spread(ClassState type, Engine engine) {
        double draw = 1 - context.random.nextDouble() * DRAW_RANGE - DRAW_OFFSET;
        double noise = -Math.log(-Math.log(draw));
        double scale = TIE_SPREAD + UNSEEN_SPREAD * limits.unseenLoadRatio();
        return scale * (Math.log(freeCores(type, engine)) + noise);
    }

    /**
     * Returns the cores that other classes' placements leave to this class there; engines are drawn in
     * proportion. Of hundreds of front ends each sees every engine empty, and would take what looks best to
     * all.
     */
    private double freeCores(ClassState type, Engine engine) {
        double boundRatio = 0;
        for (ClassState other : context.classes) {
            boolean moreBound = other.demand.reachableCores() < type.demand.reachableCores();
            if (moreBound && other.settings.placement().allows(engine.endpoint)) {
                boundRatio += other.demand.workRatio() * context.readyCores() / other.demand.reachableCores();
            }
        }
        return engine.cores * Math.max(MIN_FREE_RATIO, 1 - boundRatio);
    }

    /** Returns the expected crowding on the engine, in its own speed, and what conflicts there. */
    private double loadScore(TrackedRequest request, Engine engine) {
        if (isFastEnoughWhileCold(request, engine)) {
            return 0;
        }
        double load = Math.max(threadLoad(request, engine), memoryLoad(request, engine));
        if (hasGroupConflict(request, engine)) {
            load += GROUP_CONFLICT_LOAD;
        }
        boolean sameZone = engine.endpoint.zone() == context.settings.position().zone();
        return load + (sameZone ? 0 : OTHER_ZONE_LOAD);
    }

    private boolean isFastEnoughWhileCold(TrackedRequest request, Engine engine) {
        double runMs = capacity.runMsWhenCold(request);
        boolean inTime = context.nowMs() + runMs < request.objectiveAtMs;
        return capacity.isWarmingUp(engine) && slowStart.usesSlots() && inTime;
    }

    private double threadLoad(TrackedRequest request, Engine engine) {
        double unseen = reports.threadsPerCore() * limits.unseenLoadRatio() * engine.cores;
        boolean reported = reports.areFresh(engine);
        double threads = reported ? reports.threadsAt(engine) : engine.threadsInFlight + unseen;
        double withRequest = threads + request.threads() + BASE_LOAD_RATIO * engine.cores;
        return withRequest / (engine.cores * capacity.speed(engine));
    }

    private double memoryLoad(TrackedRequest request, Engine engine) {
        if (reports.areFresh(engine) && reports.includeMemory()) {
            return reports.memoryInUse(engine) + MEMORY_BASE_LOAD;
        }
        if (engine.memoryMb <= 0) {
            return Double.NEGATIVE_INFINITY;
        }
        double grantedMb = engine.grantedMb + ResourceLimits.grantMb(context.settings, request, engine);
        double ownRatio = Math.max(limits.quota(), 1 / ConcurrencyLimits.SMALL_FLEET);
        return MEMORY_WEIGHT * grantedMb / (engine.memoryMb * ownRatio);
    }

    private static boolean hasGroupConflict(TrackedRequest request, Engine engine) {
        RequestClass.Workload workload = request.type.settings.workload();
        return engine.attempts.stream()
                .map(attempt -> attempt.request)
                .filter(other -> other.tableGroup == request.tableGroup)
                .anyMatch(other -> other.type.settings.workload().conflictsWith(workload));
    }
}
