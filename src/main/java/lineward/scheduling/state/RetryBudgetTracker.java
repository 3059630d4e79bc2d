package lineward.scheduling.state;

import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.estimation.SlidingWindowSum;

/** Counts admitted requests and retries within the window of the retry budget. */
public final class RetryBudgetTracker {
    private final SchedulerContext context;
    private final SchedulerSettings.RetryBudget budget;
    private final SlidingWindowSum admitted;
    private final SlidingWindowSum retries;

    /** Creates a tracker of the budget in the scheduler's settings. */
    public RetryBudgetTracker(SchedulerContext context) {
        this.context = context;
        this.budget = context.settings().rules().retryBudget();
        this.admitted = new SlidingWindowSum(budget.windowMs());
        this.retries = new SlidingWindowSum(budget.windowMs());
    }

    /** Counts an admitted request, which increases the budget. */
    public void recordAdmission() {
        admitted.add(context.nowMs(), 1);
    }

    /** Counts a retry, which uses up one unit of the budget. */
    public void recordRetry() {
        retries.add(context.nowMs(), 1);
    }

    /** Returns whether the budget currently allows that many additional retries. */
    public boolean allows(long additional) {
        return !budget.isLimited() || remaining() >= additional;
    }

    private double remaining() {
        double nowMs = context.nowMs();
        return budget.base() + budget.perRequest() * admitted.sum(nowMs) - retries.sum(nowMs);
    }
}
