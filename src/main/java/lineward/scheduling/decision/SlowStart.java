package lineward.scheduling.decision;

import java.util.OptionalDouble;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.EngineCapacity;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/**
 * Limits the work that all front ends together send to an engine that is warming up, so that they do not
 * overload it.
 */
public final class SlowStart {
    /**
     * Number of front ends that may use a warming engine in one slot: enough to use its capacity, few enough
     * that the budget of each one covers a request.
     */
    private static final int FRONT_ENDS_PER_SLOT = 4;
    /** Number of slots that a sliding window may overlap; each slot may use half of the window's budget. */
    private static final int OVERLAPPING_SLOTS = 2;
    /** Fraction of the overload limit that is used; below 1 because the capacity is an estimate. */
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

    /** Creates a policy over the given scheduler state. */
    public SlowStart(SchedulerContext context, EngineCapacity capacity) {
        this.context = context;
        this.capacity = capacity;
        this.rule = context.settings().rules().slowStart();
        this.position = context.settings().position();
    }

    /**
     * Sets the fraction of the front end's budget that this process may use; below 1 during a hot restart.
     */
    public void changeQuota(double ratio) {
        previousQuotaRatio = effectiveQuotaRatio();
        quotaChangedMs = OptionalDouble.of(context.nowMs());
        quotaRatio = ratio;
        joinedHotRestart |= ratio < FULL_QUOTA;
    }

    /** Returns whether the fleet is so large that front ends use a warming engine in turn, in time slots. */
    public boolean usesSlots() {
        return position.frontEndCount() > FRONT_ENDS_PER_SLOT;
    }

    /**
     * Returns whether the request may be sent to the engine: the engine is not warming up, the settings do
     * not limit its work, or the request fits into this front end's slow-start budget.
     */
    public boolean allows(ScheduledRequest request, Engine engine) {
        if (!capacity.isWarmingUp(engine) || !rule.limitsWork()) {
            return true;
        }
        if (mayHaveUsedBudgetBeforeRestart(engine)) {
            return false;
        }
        double nowMs = context.nowMs();
        double workMs = engine.sentWorkMs(nowMs) + request.requestClass().slowStartWorkMs(request, nowMs);
        if (!usesSlots()) {
            return workMs <= budgetMs(engine) / position.frontEndCount();
        }
        return hasSlot(engine) && workMs <= budgetMs(engine) / OVERLAPPING_SLOTS / FRONT_ENDS_PER_SLOT;
    }

    private double budgetMs(Engine engine) {
        double factor = BUDGET_RATIO * rule.overloadFactor() * capacity.minCapacityRatio(engine);
        return factor * engine.cores() * rule.windowMs() * effectiveQuotaRatio();
    }

    /**
     * Returns whether an earlier process of this front end may have used the budget of the current window:
     * this process started after the engine and less than a window ago. In a hot restart the quota accounts
     * for that process instead.
     */
    private boolean mayHaveUsedBudgetBeforeRestart(Engine engine) {
        double startedMs = context.startedMs();
        boolean justStarted = context.nowMs() - startedMs < rule.windowMs();
        return !joinedHotRestart
                && justStarted
                && startedMs > engine.warmupStartMs().getAsDouble();
    }

    /**
     * Returns whether this front end has the current slot at the engine. A slot lasts one window. Who has it
     * follows from the ordinals of the front ends and the engine's id, without any messages between them.
     */
    private boolean hasSlot(Engine engine) {
        double ageMs = context.nowMs() - engine.warmupStartMs().getAsDouble();
        long slot = (long) (ageMs / rule.windowMs());
        long distance = position.ordinal() - engine.id() - slot * FRONT_ENDS_PER_SLOT;
        return Math.floorMod(distance, (long) position.frontEndCount()) < FRONT_ENDS_PER_SLOT;
    }

    /**
     * Returns the quota that applies now. After a change, work sent by the other process still counts for one
     * window, so an increase takes effect only after that time.
     */
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
