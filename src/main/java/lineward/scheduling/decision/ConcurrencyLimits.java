package lineward.scheduling.decision;

import java.util.OptionalDouble;
import java.util.function.Predicate;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.EngineCapacity;
import lineward.scheduling.state.LoadReports;
import lineward.scheduling.state.RequestClassState;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/**
 * Limits the threads that the attempts of this front end use on each engine and on all engines together, and
 * the memory that they are granted on each engine.
 */
public final class ConcurrencyLimits {
    /** Threads per core, over all front ends, above which an engine completes less work. */
    private static final double SATURATION_THREADS_PER_CORE = 1.5;
    /**
     * Number of front ends up to which each one estimates the load of an engine from its own attempts alone.
     */
    static final double SMALL_FLEET_FRONT_ENDS = 4;
    /**
     * Minimum quota, as a multiple of an even share of the fleet among the front ends. With a smaller one, a
     * false sign of overload would reinforce itself.
     */
    private static final double MIN_QUOTA_FACTOR = 1.3;
    /**
     * Time in which the quota grows from an even share to the whole fleet if load reports are not shared. It
     * shrinks at the same rate while the fleet is not calm.
     */
    private static final double FULL_QUOTA_GROWTH_MS = 10_000;
    /** Slowdown of every class below which the fleet counts as calm if load reports are not shared. */
    private static final double CALM_SLOWDOWN = 1.3;
    /** Factor by which the quota grows or shrinks at each adaptation if load reports are shared. */
    private static final double REPORTED_GROWTH = 1.3;
    /** Divisor of the quota at each adaptation while it is not needed and the fleet is calm. */
    private static final double UNUSED_QUOTA_DIVISOR = 1.05;
    /** Factor by which the granted fraction of an engine's memory may exceed the quota. */
    private static final double MEMORY_QUOTA_FACTOR = 1.2;

    private static final double FULL_QUOTA = 1;
    private static final double FULL_SPEED = 1;

    private final SchedulerContext context;
    private final EngineCapacity capacity;
    private final LoadReports reports;
    private final ResourceLimits grants;
    private final int frontEnds;
    private double quota;

    /** Creates limits that start with the minimum quota. */
    public ConcurrencyLimits(
            SchedulerContext context, EngineCapacity capacity, LoadReports reports, ResourceLimits grants) {
        this.context = context;
        this.capacity = capacity;
        this.reports = reports;
        this.grants = grants;
        this.frontEnds = context.settings().position().frontEndCount();
        this.quota = minQuota();
    }

    private double minQuota() {
        return Math.min(FULL_QUOTA, MIN_QUOTA_FACTOR / frontEnds);
    }

    /** Returns the fraction of all engines' threads that this front end may use now. */
    public double quota() {
        return quota;
    }

    /**
     * Returns the estimated fraction of an engine's load that is caused by other front ends and not seen by
     * this one.
     */
    public double unseenLoadRatio() {
        return Math.max(0, 1 - SMALL_FLEET_FRONT_ENDS / frontEnds);
    }

    /**
     * Adapts the quota: it grows while requests are blocked and the fleet is calm, and otherwise shrinks to
     * the minimum.
     */
    public void adaptQuota(boolean requestsBlocked, double intervalMs) {
        boolean calm = isCalm();
        double growth = growth(intervalMs);
        quota = requestsBlocked && calm
                ? Math.min(FULL_QUOTA, quota * growth)
                : Math.max(minQuota(), quota / (calm ? UNUSED_QUOTA_DIVISOR : growth));
    }

    private double growth(double intervalMs) {
        return reports.areShared() ? REPORTED_GROWTH : Math.pow(frontEnds, intervalMs / FULL_QUOTA_GROWTH_MS);
    }

    /** Returns whether the fleet can take more load, by shared load reports or else by the slowdowns. */
    private boolean isCalm() {
        return reports.areShared()
                ? reports.threadsPerCore() < SATURATION_THREADS_PER_CORE * LoadReports.MIN_LIMIT_JITTER
                : context.classes().stream()
                        .allMatch(type -> type.serviceTimeModel().slowdown() < CALM_SLOWDOWN);
    }

    /**
     * Returns whether the engine is below its limit, by its load report if there is a fresh one, otherwise by
     * the counts of this front end.
     */
    public boolean hasCapacity(Engine engine, ScheduledRequest request) {
        if (reports.hasFreshReport(engine)) {
            double limit = SATURATION_THREADS_PER_CORE
                    * engine.cores()
                    * Math.min(FULL_SPEED, capacity.speed(engine))
                    * engine.load().limitJitter();
            return reports.threadsAt(engine) + request.threads() <= limit;
        }
        return engine.threadsInFlight() < Math.max(1, threadLimit(engine)) && hasMemory(engine, request);
    }

    private double threadLimit(Engine engine) {
        double speed = Math.min(FULL_SPEED, capacity.speed(engine));
        return SATURATION_THREADS_PER_CORE * engine.cores() * quota * speed;
    }

    private boolean hasMemory(Engine engine, ScheduledRequest request) {
        if (engine.memoryMb() <= 0 || engine.attemptsInFlight().isEmpty()) {
            return true;
        }
        double grantedMb = engine.reservedMemoryMb() + grants.expectedMemoryMb(request, engine);
        return grantedMb <= engine.memoryMb() * Math.min(1, quota * MEMORY_QUOTA_FACTOR);
    }

    /**
     * Returns whether a request fits into this front end's quota of all usable engines together. This matters
     * only if the quota of each single engine is less than one request. Once the quota is used up, a request
     * may still start within the quota of its class, which is the fraction that the class has of the value
     * of all requests.
     */
    public boolean withinFleetQuota(ScheduledRequest request, Predicate<Engine> isUsable) {
        if (reports.areShared() && frontEnds <= SMALL_FLEET_FRONT_ENDS) {
            return true;
        }
        double threads = request.threads();
        double fleetThreadLimit = 0;
        double threadsInFlight = 0;
        double classThreadsInFlight = 0;
        for (Engine engine : context.engines()) {
            if (engine.isReady() && isUsable.test(engine)) {
                double engineLimit = threadLimit(engine);
                if (engineLimit >= threads) {
                    return true;
                }
                fleetThreadLimit += engineLimit;
                threadsInFlight += engine.threadsInFlight();
                classThreadsInFlight += threadsOf(request.requestClass(), engine);
            }
        }
        if (threadsInFlight == 0 || threadsInFlight + threads <= fleetThreadLimit) {
            return true;
        }
        return withinClassQuota(
                request,
                classThreadsInFlight,
                fleetThreadLimit * request.requestClass().demand().valueRatio());
    }

    /**
     * Returns whether a request fits into the quota of its class. If that quota is less than one request, the
     * class may start single requests, at intervals that keep its mean use within the quota.
     */
    private boolean withinClassQuota(ScheduledRequest request, double inFlight, double classThreadLimit) {
        if (inFlight > 0) {
            return inFlight + request.threads() <= classThreadLimit;
        }
        return request.threads() <= classThreadLimit || hasWaitedForQuota(request, classThreadLimit);
    }

    private boolean hasWaitedForQuota(ScheduledRequest request, double classThreadLimit) {
        OptionalDouble lastStartedMs = request.requestClass().lastAttemptStartedMs();
        return lastStartedMs.isEmpty()
                || context.nowMs() - lastStartedMs.getAsDouble()
                        >= request.expectedRunMs() * request.threads() / classThreadLimit;
    }

    private static double threadsOf(RequestClassState type, Engine engine) {
        long attempts = engine.attemptsInFlight().stream()
                .filter(attempt -> attempt.request().requestClass() == type)
                .count();
        return attempts * (double) type.settings().executionProfile().threads();
    }
}
