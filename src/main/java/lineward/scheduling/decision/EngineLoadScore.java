package lineward.scheduling.decision;

import lineward.scheduling.RequestClass;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.EngineCapacity;
import lineward.scheduling.state.LoadReports;
import lineward.scheduling.state.RequestClassState;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Scores engines for a request by their load, in multiples of their capacity; lower is better. */
public final class EngineLoadScore {
    /**
     * Scale of the random noise in scores if this front end sees none of the load on the engines. It matches
     * the differences in load between engines that arise by chance.
     */
    private static final double UNSEEN_LOAD_NOISE = 0.3;
    /** Scale of the random noise in scores if this front end sees all load; it only breaks ties. */
    private static final double TIE_BREAKING_NOISE = 0.01;
    /** Minimum fraction of an engine's cores that counts as free for a class. */
    private static final double MIN_FREE_RATIO = 0.05;
    /**
     * Load added if the request and an attempt on the engine would delay each other because one of them loads
     * the table group that both use.
     */
    private static final double GROUP_CONFLICT_LOAD = 1.5;
    /** Threads added to those of the attempts on every engine, as a fraction of its cores. */
    private static final double BASE_LOAD_RATIO = 0.3;

    private static final double MEMORY_BASE_LOAD = 0.3;
    private static final double MEMORY_WEIGHT = 1.2;
    private static final double OTHER_ZONE_LOAD = 0.02;
    private static final double NO_LOAD = 0;
    private static final double UNKNOWN_MEMORY_LOAD = Double.NEGATIVE_INFINITY;
    /** Keeps random draws away from 0 and 1, where the Gumbel noise is infinite. */
    private static final double DRAW_RANGE = 0.999999;

    private static final double DRAW_OFFSET = 5e-7;

    private final SchedulerContext context;
    private final ConcurrencyLimits limits;
    private final SlowStart slowStart;
    private final ResourceLimits resources;
    private final LoadReports reports;
    private final EngineCapacity capacity;

    /** Creates a policy over the given scheduler state. */
    public EngineLoadScore(
            SchedulerContext context,
            ConcurrencyLimits limits,
            SlowStart slowStart,
            ResourceLimits resources,
            LoadReports reports,
            EngineCapacity capacity) {
        this.context = context;
        this.limits = limits;
        this.slowStart = slowStart;
        this.resources = resources;
        this.reports = reports;
        this.capacity = capacity;
    }

    /**
     * Draws the amount by which an engine's score is lowered: the logarithm of its free cores plus Gumbel
     * noise. Front ends that see the same load thus spread over the engines in proportion to the free cores.
     */
    public double drawNoise(RequestClassState type, Engine engine) {
        double draw = 1 - context.drawRandom() * DRAW_RANGE - DRAW_OFFSET;
        double gumbel = -Math.log(-Math.log(draw));
        double scale = TIE_BREAKING_NOISE + UNSEEN_LOAD_NOISE * limits.unseenLoadRatio();
        return scale * (Math.log(freeCores(type, engine)) + gumbel);
    }

    /**
     * Returns the engine's cores that are expected to be left over by classes that may run on fewer cores of
     * the fleet than the given class.
     */
    private double freeCores(RequestClassState type, Engine engine) {
        double occupiedRatio = 0;
        for (RequestClassState other : context.classes()) {
            boolean moreRestricted =
                    other.demand().reachableCores() < type.demand().reachableCores();
            if (moreRestricted && other.settings().placement().allows(engine.endpoint())) {
                occupiedRatio += other.demand().workRatio()
                        * context.demand().readyCores()
                        / other.demand().reachableCores();
            }
        }
        return engine.cores() * Math.max(MIN_FREE_RATIO, 1 - occupiedRatio);
    }

    /**
     * Returns the expected load of the engine with the request, relative to the engine's speed, plus
     * penalties for a table group conflict and for another zone.
     */
    public double score(ScheduledRequest request, Engine engine) {
        if (isFastEnoughWhileWarmingUp(request, engine)) {
            return NO_LOAD;
        }
        double load = Math.max(threadLoad(request, engine), memoryLoad(request, engine));
        if (hasGroupConflict(request, engine)) {
            load += GROUP_CONFLICT_LOAD;
        }
        boolean sameZone =
                engine.endpoint().zone() == context.settings().position().zone();
        return load + (sameZone ? 0 : OTHER_ZONE_LOAD);
    }

    /**
     * Returns whether the request should use this front end's slot at a warming engine. In a large fleet a
     * front end rarely has a slot, so it uses one whenever the request would meet its objective even on a
     * cold engine.
     */
    private boolean isFastEnoughWhileWarmingUp(ScheduledRequest request, Engine engine) {
        double runMs = capacity.runMsWhenCold(request);
        boolean inTime = context.nowMs() + runMs < request.objectiveEndMs();
        return capacity.isWarmingUp(engine) && slowStart.usesSlots() && inTime;
    }

    private double threadLoad(ScheduledRequest request, Engine engine) {
        double threads = expectedThreads(engine) + request.threads() + BASE_LOAD_RATIO * engine.cores();
        return threads / (engine.cores() * capacity.speed(engine));
    }

    private double expectedThreads(Engine engine) {
        if (reports.hasFreshReport(engine)) {
            return reports.threadsAt(engine);
        }
        double unseen = reports.threadsPerCore() * limits.unseenLoadRatio() * engine.cores();
        return engine.threadsInFlight() + unseen;
    }

    private double memoryLoad(ScheduledRequest request, Engine engine) {
        if (reports.hasFreshReport(engine) && reports.hasMemoryField()) {
            return reports.memoryInUseRatio(engine) + MEMORY_BASE_LOAD;
        }
        if (engine.memoryMb() <= 0) {
            return UNKNOWN_MEMORY_LOAD;
        }
        double grantedMb = engine.reservedMemoryMb() + resources.expectedMemoryMb(request, engine);
        double ownRatio = Math.max(limits.quota(), 1 / ConcurrencyLimits.SMALL_FLEET_FRONT_ENDS);
        return MEMORY_WEIGHT * grantedMb / (engine.memoryMb() * ownRatio);
    }

    private static boolean hasGroupConflict(ScheduledRequest request, Engine engine) {
        RequestClass.ExecutionProfile workload =
                request.requestClass().settings().executionProfile();
        return engine.attemptsInFlight().stream()
                .map(attempt -> attempt.request())
                .filter(other -> other.tableGroup() == request.tableGroup())
                .anyMatch(other ->
                        other.requestClass().settings().executionProfile().conflictsWith(workload));
    }
}
