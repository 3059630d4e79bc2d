package lineward.scheduling;

/** Keeps all front ends together from overloading an engine that warms up. */
final class SlowStart {
    /** Front ends that use a cold engine at once: enough to fill it, few enough for a request each. */
    private static final int FRONT_ENDS_PER_SLOT = 4;
    /**
     * Ratio of the budget that is used: capacity is estimated with cores not quite busy, and cores differ.
     */
    private static final double BUDGET_RATIO = 0.4;

    private final SchedulerContext context;
    private final EngineCapacity capacity;
    private final SchedulerSettings.SlowStartRule rule;
    private final SchedulerSettings.FleetPosition position;
    private double quotaRatio = 1;
    private double quotaRatioBefore = 1;
    private double quotaChangedMs = Double.NEGATIVE_INFINITY;
    private boolean joinedHotRestart;

    SlowStart(SchedulerContext context, EngineCapacity capacity) {
        this.context = context;
        this.capacity = capacity;
        this.rule = context.settings.rules().slowStart();
        this.position = context.settings.position();
    }

    /** Takes in the ratio of the front end's budget that falls to this process. */
    void changeQuota(double ratio) {
        quotaRatioBefore = effectiveQuotaRatio();
        quotaChangedMs = context.nowMs();
        quotaRatio = ratio;
        joinedHotRestart |= ratio < 1;
    }

    /** Returns whether the fleet is so large that front ends take turns at a cold engine. */
    boolean usesSlots() {
        return position.frontEnds() > FRONT_ENDS_PER_SLOT;
    }

    /** Returns whether a request may go to the engine now. */
    boolean allows(TrackedRequest request, Engine engine) {
        if (!capacity.isWarmingUp(engine) || rule.overloadFactor() <= 0) {
            return true;
        }
        double nowMs = context.nowMs();
        double sent = engine.sentWork.sum(nowMs) + request.type.slowStartWork(request, nowMs);
        if (hasForgottenItsSends(engine)) {
            return false;
        }
        if (!usesSlots()) {
            return sent <= budget(engine) / position.frontEnds();
        }
        // A window meets two slots at the most, hence half.
        return hasSlot(engine) && sent <= budget(engine) / 2 / FRONT_ENDS_PER_SLOT;
    }

    private double budget(Engine engine) {
        double factor = BUDGET_RATIO * rule.overloadFactor() * capacity.certainRatio(engine);
        return factor * engine.cores * rule.windowMs() * effectiveQuotaRatio();
    }

    /**
     * A process that just started has forgotten what it sent there a moment ago. One that takes over from
     * another process has its half of the budget, and the whole of it one window later.
     */
    private boolean hasForgottenItsSends(Engine engine) {
        double startedMs = context.startedMs();
        boolean justStarted = context.nowMs() - startedMs < rule.windowMs();
        return !joinedHotRestart && justStarted && startedMs > engine.warmupStartMs();
    }

    /** A slot of one window belongs to a few front ends each, by ordinal and engine, without talking. */
    private boolean hasSlot(Engine engine) {
        long slot = (long) ((context.nowMs() - engine.warmupStartMs()) / rule.windowMs());
        long distance = position.ordinal() - engine.id - slot * FRONT_ENDS_PER_SLOT;
        return Math.floorMod(distance, (long) position.frontEnds()) < FRONT_ENDS_PER_SLOT;
    }

    /** What another process sent counts for a window yet: a larger quota holds only then. */
    private double effectiveQuotaRatio() {
        boolean justChanged = context.nowMs() - quotaChangedMs < rule.windowMs();
        return justChanged ? Math.min(quotaRatio, quotaRatioBefore) : quotaRatio;
    }
}
