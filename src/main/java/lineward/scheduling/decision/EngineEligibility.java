package lineward.scheduling.decision;

import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Decides whether an engine can take a request now, for a first attempt, a retry or a relaunch. */
public final class EngineEligibility {
    private final SchedulerContext context;
    private final ConcurrencyLimits limits;
    private final SlowStart slowStart;

    /** Creates a policy over the given scheduler state. */
    public EngineEligibility(SchedulerContext context, ConcurrencyLimits limits, SlowStart slowStart) {
        this.context = context;
        this.limits = limits;
        this.slowStart = slowStart;
    }

    /** Returns whether the engine is ready and the placement of the request's class allows it. */
    public static boolean mayRunOn(ScheduledRequest request, Engine engine) {
        return engine.isReady() && request.requestClass().settings().placement().allows(engine.endpoint());
    }

    /**
     * Returns whether the request may run on the engine and can start now: the engine is below its
     * concurrency limits, and the request fits into its slow-start budget.
     */
    public boolean hasCapacityNow(ScheduledRequest request, Engine engine) {
        boolean hasCapacity = mayRunOn(request, engine) && limits.hasCapacity(engine, request);
        return hasCapacity && slowStart.allows(request, engine);
    }

    /**
     * Returns whether the request could be relaunched now on another engine that it has not tried. Unlike the
     * selection of an engine for an attempt, this never considers ejected or tried engines, and it ignores
     * overdue health checks.
     */
    public boolean hasTargetForRelaunch(Attempt attempt) {
        ScheduledRequest request = attempt.request();
        for (Engine engine : context.engines()) {
            boolean healthyAlternative =
                    engine != attempt.engine() && !engine.health().isEjected();
            if (healthyAlternative && !request.hasTried(engine) && hasCapacityNow(request, engine)) {
                return true;
            }
        }
        return false;
    }
}
