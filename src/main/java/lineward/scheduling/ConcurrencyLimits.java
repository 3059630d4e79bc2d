package lineward.scheduling;

import java.util.function.Predicate;

/** Bounds the threads that run on each engine, and on all of them, for this front end. */
final class ConcurrencyLimits {
    /** Threads per core that all front ends together run: work done falls beyond one or two. */
    static final double SATURATION_THREADS_PER_CORE = 1.5;
    /** Up to so many front ends, own counts stand for the fleet; with more, most load is unseen. */
    static final double SMALL_FLEET = 4;
    /** Least multiple of an even quota: with less, a false alarm of crowding would feed on itself. */
    private static final double MIN_EVEN_QUOTAS = 1.3;
    /** With requests queued while all is calm, a front end has the whole fleet after this. */
    private static final double FULL_QUOTA_AFTER_MS = 10_000;
    /** Slowdown of all classes below which a front end with requests queued takes a larger quota. */
    private static final double CALM_SLOWDOWN = 1.3;
    /** Factor by which the quota grows, or shrinks, where load reports tell the fleet's load. */
    private static final double REPORTED_GROWTH = 1.3;
    /** Divisor by which an unused quota shrinks while all is calm. */
    private static final double UNUSED_SHRINK = 1.05;
    /** Memory may run this much ahead of the quota. */
    private static final double MEMORY_QUOTA_FACTOR = 1.2;

    private final SchedulerContext context;
    private final EngineCapacity capacity;
    private final LoadReports reports;
    private final int frontEnds;
    private double quota;

    ConcurrencyLimits(SchedulerContext context, EngineCapacity capacity, LoadReports reports) {
        this.context = context;
        this.capacity = capacity;
        this.reports = reports;
        this.frontEnds = context.settings.position().frontEnds();
        this.quota = evenQuota();
    }

    private double evenQuota() {
        return Math.min(1, MIN_EVEN_QUOTAS / frontEnds);
    }

    /** Returns the ratio of all engines that falls to this front end now. */
    double quota() {
        return quota;
    }

    /**
     * Returns the ratio of an engine's load that this front end does not see: near 1 for hundreds of them.
     */
    double unseenLoadRatio() {
        return Math.max(0, 1 - SMALL_FLEET / frontEnds);
    }

    /** Adapts the quota: it grows while requests are queued and all is calm, and shrinks when crowded. */
    void adaptQuota(boolean requestsBlocked, double intervalMs) {
        boolean reported = reports.areShared();
        boolean calm = reported
                ? reports.threadsPerCore() < SATURATION_THREADS_PER_CORE * LoadReports.MIN_LIMIT_JITTER
                : context.classes.stream().allMatch(type -> type.model.slowdown() < CALM_SLOWDOWN);
        double growth = reported ? REPORTED_GROWTH : Math.pow(frontEnds, intervalMs / FULL_QUOTA_AFTER_MS);
        quota = requestsBlocked && calm
                ? Math.min(1, quota * growth)
                : Math.max(evenQuota(), quota / (calm ? UNUSED_SHRINK : growth));
    }

    /** Returns the threads that this front end may have at an engine. */
    private double threadLimit(Engine engine) {
        return SATURATION_THREADS_PER_CORE * engine.cores * quota * Math.min(1, capacity.speed(engine));
    }

    /** Up to saturation work done rises with threads, past it falls: the rest is queued here. */
    boolean hasCapacity(Engine engine, TrackedRequest request) {
        if (reports.areFresh(engine)) {
            double limit = SATURATION_THREADS_PER_CORE
                    * engine.cores
                    * Math.min(1, capacity.speed(engine))
                    * engine.limitJitter;
            return reports.threadsAt(engine) + request.threads() <= limit;
        }
        boolean memoryFits = hasMemory(engine, request);
        return engine.threadsInFlight < Math.max(1, threadLimit(engine)) && memoryFits;
    }

    private boolean hasMemory(Engine engine, TrackedRequest request) {
        if (engine.memoryMb <= 0 || engine.attempts.isEmpty()) {
            return true;
        }
        double granted = engine.grantedMb + ResourceLimits.grantMb(context.settings, request, engine);
        return granted <= engine.memoryMb * Math.min(1, quota * MEMORY_QUOTA_FACTOR);
    }

    /**
     * Returns whether a request fits into this front end's quota of all engines. Where its quota of an engine
     * is less than one request it may still send one, and of a hundred front ends each would fill every
     * engine. Past a full quota each class is sent within its ratio of the value asked for: else what is
     * worth more would fill the quota a second time and jam the engines for all. A class with nothing in
     * flight waits for the time that its quota takes.
     */
    boolean withinFleetQuota(TrackedRequest request, Predicate<Engine> isUsable) {
        if (reports.areShared() && frontEnds <= SMALL_FLEET) {
            return true;
        }
        double threads = request.threads();
        double limit = 0;
        double inFlight = 0;
        double ofClass = 0;
        for (Engine engine : context.engines.values()) {
            if (engine.ready && isUsable.test(engine)) {
                double engineLimit = threadLimit(engine);
                if (engineLimit >= threads) {
                    return true;
                }
                limit += engineLimit;
                inFlight += engine.threadsInFlight;
                ofClass += threadsOf(request.type, engine);
            }
        }
        if (inFlight == 0 || inFlight + threads <= limit) {
            return true;
        }
        return withinClassQuota(request, ofClass, limit * request.type.demand.valueRatio());
    }

    private boolean withinClassQuota(TrackedRequest request, double inFlight, double classLimit) {
        if (inFlight > 0) {
            return inFlight + request.threads() <= classLimit;
        }
        double sinceLastMs = context.nowMs() - request.type.lastStartedMs;
        return request.threads() <= classLimit
                || sinceLastMs >= request.expectedRunMs() * request.threads() / classLimit;
    }

    private static double threadsOf(ClassState type, Engine engine) {
        long attempts = engine.attempts.stream()
                .filter(attempt -> attempt.request.type == type)
                .count();
        return attempts * (double) type.settings.workload().threads();
    }
}
