package lineward.scheduling;

/** Sets the memory grant and the priority of a request's attempts. */
final class ResourceLimits {
    /** Memory granted over the estimate at first. */
    static final double INITIAL_GRANT_FACTOR = 1.25;

    private static final double MAX_GRANT_FACTOR = 3;
    /** The quantile of what requests need towards which the grant is moved, and how far each moves it. */
    private static final double NEED_QUANTILE = 0.98;

    private static final double NEED_STEP = 0.03;
    /** Factor by which the grant grows when a request spills to disk. */
    private static final double SPILL_STEP = 1.02;
    /** Work below this ratio of the largest class's is short. */
    private static final double SHORT_WORK_RATIO = 0.3;

    private static final int OVERDUE_PRIORITY = 0;
    private static final int LONG_PRIORITY = 1;
    private static final int LOAD_PRIORITY = 2;
    private static final int SHORT_PRIORITY = 3;

    private final SchedulerContext context;

    ResourceLimits(SchedulerContext context) {
        this.context = context;
    }

    /** Asks for the limits of the request's next attempt, where engines heed any. */
    void set(TrackedRequest request, Engine engine) {
        SchedulerSettings.Capabilities may = context.settings.capabilities();
        if (may.grants() || may.priorities()) {
            double grantMb = may.grants() ? requestedGrantMb(request, engine) : 0;
            context.emit(new SchedulerAction.SetResourceLimits(request.id, grantMb, priority(request)));
        }
    }

    /** Where engines page, memory in use counts up to the need: a larger grant takes from nobody. */
    private double requestedGrantMb(TrackedRequest request, Engine engine) {
        SchedulerSettings.MemoryLimits memory = context.settings.memory();
        return memory.shortage() == MemoryShortage.PAGE
                ? engine.memoryMb * memory.maxGrantRatio()
                : grantMb(context.settings, request, engine);
    }

    /** Returns the memory that a request is expected to need on an engine. */
    static double grantMb(SchedulerSettings settings, TrackedRequest request, Engine engine) {
        double correction = Math.exp(request.type.model.memoryBias.value());
        double factor = settings.capabilities().grants() ? request.type.grantFactor : INITIAL_GRANT_FACTOR;
        double needMb = request.estimatedMemoryMb * correction * factor;
        return engine.memoryMb > 0
                ? Math.min(needMb, engine.memoryMb * settings.memory().maxGrantRatio())
                : needMb;
    }

    /** Short work first, loads ahead of long reads as they hold their table group, what is late last. */
    private int priority(TrackedRequest request) {
        double nowMs = context.nowMs();
        if (nowMs + request.expectedRunMs() > request.objectiveAtMs) {
            return OVERDUE_PRIORITY;
        }
        double largestMs = context.classes.stream()
                .mapToDouble(type -> type.model.meanWorkMs(nowMs))
                .max()
                .orElse(0);
        if (request.expectedWorkMs() < largestMs * SHORT_WORK_RATIO) {
            return SHORT_PRIORITY;
        }
        boolean first = request.type.settings.workload().load() || request.relaunched;
        return first ? LOAD_PRIORITY : LONG_PRIORITY;
    }

    /** Learns from the memory that a request turned out to need, as a multiple of its estimate. */
    void recordNeed(ClassState type, double factor) {
        boolean tooSmall = factor > type.grantFactor;
        type.grantFactor *= tooSmall ? 1 + NEED_STEP * NEED_QUANTILE : 1 - NEED_STEP * (1 - NEED_QUANTILE);
    }

    /** Learns from a request that spilled to disk. */
    void recordSpill(ClassState type) {
        type.grantFactor = Math.min(MAX_GRANT_FACTOR, type.grantFactor * SPILL_STEP);
    }
}
