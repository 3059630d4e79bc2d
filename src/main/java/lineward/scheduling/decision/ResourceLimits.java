package lineward.scheduling.decision;

import java.util.Optional;
import lineward.scheduling.MemoryShortageHandling;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RequestClassState;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Decides the memory grant and the priority of a request's attempts. */
public final class ResourceLimits {
    private static final double MAX_GRANT_FACTOR = 3;
    /** The grant factor converges to this quantile of the ratio of memory needs to corrected estimates. */
    private static final double NEED_QUANTILE = 0.98;

    private static final double GRANT_STEP = 0.03;
    private static final double SPILL_GROWTH_FACTOR = 1.02;
    /** Work is short below this fraction of the mean work of the class with the largest mean. */
    private static final double SHORT_WORK_RATIO = 0.3;

    private static final double NO_GRANT = 0;

    private static final int OVERDUE_PRIORITY = 0;
    private static final int LONG_PRIORITY = 1;
    private static final int LOAD_OR_RELAUNCH_PRIORITY = 2;
    private static final int SHORT_PRIORITY = 3;

    private final SchedulerContext context;

    /** Creates a policy over the given scheduler state. */
    public ResourceLimits(SchedulerContext context) {
        this.context = context;
    }

    /**
     * Returns the limits of the request's next attempt; empty if engines support neither grants nor
     * priorities.
     */
    public Optional<SchedulerAction> limitsFor(ScheduledRequest request, Engine engine) {
        SchedulerSettings.Capabilities capabilities = context.settings().capabilities();
        if (!capabilities.grants() && !capabilities.priorities()) {
            return Optional.empty();
        }
        double grantMb = capabilities.grants() ? requestedGrantMb(request, engine) : NO_GRANT;
        return Optional.of(new SchedulerAction.SetResourceLimits(request.id(), grantMb, priority(request)));
    }

    /**
     * Returns the grant to send to the engine. An engine that pages counts only the memory in use, which is
     * at most the need of the request, so the maximum grant costs nothing there.
     */
    private double requestedGrantMb(ScheduledRequest request, Engine engine) {
        SchedulerSettings.MemoryLimits memory = context.settings().memoryLimits();
        return memory.shortageHandling() == MemoryShortageHandling.PAGE
                ? engine.memoryMb() * memory.maxGrantRatio()
                : expectedMemoryMb(request, engine);
    }

    /**
     * Returns the memory that a request is expected to need on an engine. Other policies count this amount as
     * granted, even if the grant that is sent differs.
     */
    public double expectedMemoryMb(ScheduledRequest request, Engine engine) {
        SchedulerSettings settings = context.settings();
        double correction = request.requestClass().serviceTimeModel().memoryCorrection();
        boolean supported = settings.capabilities().grants();
        double factor = supported ? request.requestClass().grantFactor() : RequestClassState.INITIAL_FACTOR;
        double needMb = request.estimatedMemoryMb() * correction * factor;
        return engine.memoryMb() > 0
                ? Math.min(needMb, engine.memoryMb() * settings.memoryLimits().maxGrantRatio())
                : needMb;
    }

    /**
     * Returns the priority; a higher one runs first. Short work comes first, then loads and relaunches, then
     * other long work; requests that are expected to miss their objective come last.
     */
    private int priority(ScheduledRequest request) {
        double nowMs = context.nowMs();
        if (nowMs + request.expectedRunMs() > request.objectiveEndMs()) {
            return OVERDUE_PRIORITY;
        }
        double largestMeanWorkMs = context.classes().stream()
                .mapToDouble(type -> type.serviceTimeModel().meanWorkMs(nowMs))
                .max()
                .orElse(0);
        if (request.expectedWorkMs() < largestMeanWorkMs * SHORT_WORK_RATIO) {
            return SHORT_PRIORITY;
        }
        boolean load = request.requestClass().settings().executionProfile().loadsTableGroup();
        return load || request.isRelaunched() ? LOAD_OR_RELAUNCH_PRIORITY : LONG_PRIORITY;
    }

    /**
     * Adapts the grant factor to the memory that a request needed, as a multiple of its corrected estimate.
     */
    public void recordNeed(RequestClassState type, double neededFactor) {
        boolean tooSmall = neededFactor > type.grantFactor();
        double change = tooSmall ? 1 + GRANT_STEP * NEED_QUANTILE : 1 - GRANT_STEP * (1 - NEED_QUANTILE);
        type.setGrantFactor(type.grantFactor() * change);
    }

    /** Raises the grant factor, up to its maximum, after a request has spilled to disk. */
    public void recordSpill(RequestClassState type) {
        type.setGrantFactor(Math.min(MAX_GRANT_FACTOR, type.grantFactor() * SPILL_GROWTH_FACTOR));
    }
}
