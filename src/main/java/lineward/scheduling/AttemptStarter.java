package lineward.scheduling;

/** Starts attempts; the selector has checked that they are within the rules. */
final class AttemptStarter {
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

    void start(TrackedRequest request, Engine engine) {
        double nowMs = context.nowMs();
        if (engine.attempts.isEmpty()) {
            engine.lastResponseMs = nowMs;
        }
        double grantMb = ResourceLimits.grantMb(context.settings, request, engine);
        Attempt attempt = new Attempt(request, engine, grantMb, nowMs);
        if (engine.ejected) {
            outliers.spendRecoveryProbe(engine);
        }
        resources.set(request, engine);
        double startWithinMs = retries.startWithinMs(request);
        context.emit(new SchedulerAction.StartAttempt(request.id, engine.id, 0, startWithinMs));
        if (!request.attempts.isEmpty()) {
            budget.recordRetry();
        }
        request.attempts.add(attempt);
        request.type.lastStartedMs = nowMs;
        request.attemptsInFlight++;
        request.dispatched = true;
        engine.add(attempt);
        engine.sentWork.add(nowMs, request.type.slowStartWork(request, nowMs));
    }
}
