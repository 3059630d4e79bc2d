package lineward.scheduling;

/** Estimates what engines can do now: how far they have warmed up, and how fast they lately were. */
final class EngineCapacity {
    /** Ratio of an engine's warming up that is certain: it may warm up late, or not evenly. */
    private static final double CERTAIN_WARMUP_RATIO = 0.75;
    /** Range of an engine's speed against the fleet's. */
    private static final double MIN_SPEED = 0.1;

    private static final double MAX_SPEED = 1.3;

    private final SchedulerContext context;
    private final SchedulerSettings.SlowStartRule rule;

    EngineCapacity(SchedulerContext context) {
        this.context = context;
        this.rule = context.settings.rules().slowStart();
    }

    boolean isWarmingUp(Engine engine) {
        double since = engine.warmupStartMs();
        return since > 0 && context.nowMs() - since < rule.durationMs();
    }

    /** Returns the ratio of its capacity that the engine has. */
    double ratio(Engine engine) {
        return ratio(engine, 0);
    }

    private double ratio(Engine engine, double agoMs) {
        if (!isWarmingUp(engine)) {
            return 1;
        }
        double ageMs = Math.max(0, context.nowMs() - agoMs - engine.warmupStartMs());
        return rule.initialRatio() + (1 - rule.initialRatio()) * (ageMs / rule.durationMs());
    }

    /**
     * Returns the ratio that it has at least. An engine warms up by time, but only from a start that was
     * announced: one that broke off may be back at any time since.
     */
    double certainRatio(Engine engine) {
        if (engine.connectionLostMs > engine.announcedStartMs()) {
            return rule.initialRatio();
        }
        double warmedUp = ratio(engine, rule.windowMs()) - rule.initialRatio();
        return rule.initialRatio() + CERTAIN_WARMUP_RATIO * warmedUp;
    }

    /** Returns how long a request takes on an engine that has just started. */
    double runMsWhenCold(TrackedRequest request) {
        return request.expectedRunMs() / rule.initialRatio();
    }

    /**
     * Returns an engine's speed against the fleet's; one that warms up counts as what it has of its capacity.
     */
    double speed(Engine engine) {
        double nowMs = context.nowMs();
        double relative = Math.min(MAX_SPEED, context.fleet.slowdown() / engine.slowdown(nowMs));
        double useful = Math.max(MIN_SPEED, relative * (1 - engine.errorRatio(nowMs)));
        return useful * ratio(engine);
    }
}
