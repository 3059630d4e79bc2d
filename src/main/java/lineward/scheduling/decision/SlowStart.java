package lineward.scheduling.decision;

import java.util.OptionalDouble;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.EngineCapacity;
import lineward.scheduling.state.SchedulerContext;
import lineward.scheduling.state.TrackedRequest;

/** Keeps all front ends together from overloading an engine that warms up. */
public final class SlowStart {
    /** Front ends that may use a warming engine in one slot. */
    private static final int FRONT_ENDS_PER_SLOT = 4;
    /** A sliding window overlaps two slots, so each slot may use half of the budget. */
    private static final int OVERLAPPING_SLOTS = 2;
    /** Fraction of the overload limit that is used, below 1 because the capacity is an estimate. */
    private static final double BUDGET_RATIO = 0.4;

    private static final double FULL_QUOTA = 1;

    private final SchedulerContext context;
    private final EngineCapacity capacity;
    private final SchedulerSettings.SlowStartRule rule;
    private final SchedulerSettings.FleetPosition position;
    private double quotaRatio = FULL_QUOTA;
    private double previousQuotaRatio = FULL_QUOTA;
    private OptionalDouble quotaChangedMs = OptionalDouble.empty();
    private boolean joinedHotRestart;

    /** Creates a policy for the engines of that scheduler. */
    public SlowStart(SchedulerContext context, EngineCapacity capacity) {
        this.context = context;
        this.capacity = capacity;
        this.rule = context.settings().rules().slowStart();
        this.position = context.settings().position();
    }

    /** Sets the fraction of the front end's budget that this process may use during a hot restart. */
    public void changeQuota(double ratio) {
        previousQuotaRatio = effectiveQuotaRatio();
        quotaChangedMs = OptionalDouble.of(context.nowMs());
        quotaRatio = ratio;
        joinedHotRestart |= ratio < FULL_QUOTA;
    }

    /** Returns whether the fleet is so large that front ends take slots at a warming engine. */
    public boolean usesSlots() {
        return position.frontEnds() > FRONT_ENDS_PER_SLOT;
    }

    /**
     * Returns whether the engine has warmed up or the request fits into this front end's slow-start budget.
     */
    public boolean allows(TrackedRequest request, Engine engine) {
        if (!capacity.isWarmingUp(engine) || !rule.limitsWork()) {
            return true;
        }
        if (mayHaveUsedBudgetBeforeRestart(engine)) {
            return false;
        }
        double nowMs = context.nowMs();
        double workMs = engine.sentWorkMs(nowMs) + request.type().slowStartWorkMs(request, nowMs);
        if (!usesSlots()) {
            return workMs <= budgetMs(engine) / position.frontEnds();
        }
        return hasSlot(engine) && workMs <= budgetMs(engine) / OVERLAPPING_SLOTS / FRONT_ENDS_PER_SLOT;
    }

    private double budgetMs(Engine engine) {
        double factor = BUDGET_RATIO * rule.overloadFactor() * capacity.certainRatio(engine);
        return factor * engine.cores() * rule.windowMs() * effectiveQuotaRatio();
    }

    /**
     * This process started after the engine, and an earlier process may have sent work within the window.
     * During a hot restart the quota accounts for that instead.
     */
    private boolean mayHaveUsedBudgetBeforeRestart(Engine engine) {
        double startedMs = context.startedMs();
        boolean justStarted = context.nowMs() - startedMs < rule.windowMs();
        return !joinedHotRestart
                && justStarted
                && startedMs > engine.warmupStartMs().getAsDouble();
    }

    /** Front ends take slots of one window by ordinal and engine number, without messages. */
    private boolean hasSlot(Engine engine) {
        double ageMs = context.nowMs() - engine.warmupStartMs().getAsDouble();
        long slot = (long) (ageMs / rule.windowMs());
        long distance = position.ordinal() - engine.id() - slot * FRONT_ENDS_PER_SLOT;
        return Math.floorMod(distance, (long) position.frontEnds()) < FRONT_ENDS_PER_SLOT;
    }

    /** What another process sent counts for one window more, so a larger quota applies only after it. */
    private double effectiveQuotaRatio() {
        return isQuotaJustChanged() ? Math.min(quotaRatio, previousQuotaRatio) : quotaRatio;
    }

    private boolean isQuotaJustChanged() {
        if (quotaChangedMs.isEmpty()) {
            return false;
        }
        return context.nowMs() - quotaChangedMs.getAsDouble() < rule.windowMs();
    }
}
