package lineward.scheduling.state;

import java.util.OptionalDouble;
import lineward.scheduling.SchedulerSettings;

/** Estimates the current capacity of an engine from its warm-up and its recent speed. */
public final class EngineCapacity {
    /** Fraction of the warm-up counted in the lower bound, as engines may warm up late or unevenly. */
    private static final double COUNTED_WARMUP_RATIO = 0.75;

    private static final double MIN_SPEED = 0.1;
    private static final double MAX_SPEED = 1.3;

    private final SchedulerContext context;
    private final SchedulerSettings.SlowStartRule rule;

    /** Creates an estimator for the engines of a scheduler. */
    public EngineCapacity(SchedulerContext context) {
        this.context = context;
        this.rule = context.settings().rules().slowStart();
    }

    /** Returns whether the engine may still be warming up. */
    public boolean isWarmingUp(Engine engine) {
        OptionalDouble startMs = engine.warmupStartMs();
        return startMs.isPresent() && context.nowMs() - startMs.getAsDouble() < rule.durationMs();
    }

    /** Returns the fraction of full capacity that the engine has at {@code atMs} by the slow-start rule. */
    private double capacityRatioAt(Engine engine, double atMs) {
        if (!isWarmingUp(engine)) {
            return 1;
        }
        double ageMs = Math.max(0, atMs - engine.warmupStartMs().getAsDouble());
        return rule.initialRatio() + (1 - rule.initialRatio()) * (ageMs / rule.durationMs());
    }

    /**
     * Returns a lower bound of the fraction of full capacity that the engine has had since the start of the
     * slow-start window. If its last start was only inferred from a lost connection, the actual start may be
     * later, so it counts as just started.
     */
    public double minCapacityRatio(Engine engine) {
        if (engine.isStartUnannounced()) {
            return rule.initialRatio();
        }
        double warmedUp = capacityRatioAt(engine, context.nowMs() - rule.windowMs()) - rule.initialRatio();
        return rule.initialRatio() + COUNTED_WARMUP_RATIO * warmedUp;
    }

    /** Returns the expected run time of a request on an engine that has just started. */
    public double runMsWhenCold(ScheduledRequest request) {
        return request.expectedRunMs() / rule.initialRatio();
    }

    /** Returns the engine's speed relative to the fleet, reduced by its error ratio and its warm-up. */
    public double speed(Engine engine) {
        double nowMs = context.nowMs();
        double relative = Math.min(MAX_SPEED, context.serviceTimes().slowdown() / engine.slowdown(nowMs));
        double useful = Math.max(MIN_SPEED, relative * (1 - engine.health().errorRatio(nowMs)));
        return useful * capacityRatioAt(engine, nowMs);
    }
}
