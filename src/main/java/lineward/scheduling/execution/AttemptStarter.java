package lineward.scheduling.execution;

import lineward.scheduling.SchedulerAction;
import lineward.scheduling.decision.OutlierDetector;
import lineward.scheduling.decision.ResourceLimits;
import lineward.scheduling.decision.RetryPolicy;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RetryBudgetTracker;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Starts attempts on the selected engines. */
final class AttemptStarter {
    private static final double NO_TIMEOUT = 0;

    private final SchedulerContext context;
    private final RetryPolicy retries;
    private final RetryBudgetTracker budget;
    private final OutlierDetector outliers;
    private final ResourceLimits resources;

    AttemptStarter(
            SchedulerContext context,
            RetryPolicy retries,
            RetryBudgetTracker budget,
            OutlierDetector outliers,
            ResourceLimits resources) {
        this.context = context;
        this.retries = retries;
        this.budget = budget;
        this.outliers = outliers;
        this.resources = resources;
    }

    void start(ScheduledRequest request, Engine engine) {
        double nowMs = context.nowMs();
        Attempt attempt = new Attempt(request, engine, resources.expectedMemoryMb(request, engine), nowMs);
        if (attempt.isRecoveryProbe()) {
            outliers.spendRecoveryProbe(engine);
        }
        resources.limitsFor(request, engine).ifPresent(context::emit);
        double startWithinMs = retries.startWithinMs(request);
        context.emit(new SchedulerAction.StartAttempt(request.id(), engine.id(), NO_TIMEOUT, startWithinMs));
        if (!request.attempts().isEmpty()) {
            budget.recordRetry();
        }
        request.startAttempt(attempt);
        request.requestClass().recordAttemptStart(nowMs);
        engine.startAttempt(attempt, request.requestClass().slowStartWorkMs(request, nowMs), nowMs);
    }
}
