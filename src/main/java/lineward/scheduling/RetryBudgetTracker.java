package lineward.scheduling;

/** Counts admitted requests and retries within the window of the retry budget. */
final class RetryBudgetTracker {
    private final SchedulerContext context;
    private final SchedulerSettings.RetryBudget budget;
    private final SlidingWindowCounter admitted;
    private final SlidingWindowCounter retries;

    RetryBudgetTracker(SchedulerContext context) {
        this.context = context;
        this.budget = context.settings.rules().retryBudget();
        this.admitted = new SlidingWindowCounter(budget.windowMs());
        this.retries = new SlidingWindowCounter(budget.windowMs());
    }

    void recordAdmission() {
        admitted.add(context.nowMs(), 1);
    }

    void recordRetry() {
        retries.add(context.nowMs(), 1);
    }

    /** Returns the retries that the budget still allows. */
    double left() {
        if (budget.windowMs() <= 0) {
            return Double.POSITIVE_INFINITY;
        }
        double nowMs = context.nowMs();
        return budget.base() + budget.perRequest() * admitted.sum(nowMs) - retries.sum(nowMs);
    }
}
