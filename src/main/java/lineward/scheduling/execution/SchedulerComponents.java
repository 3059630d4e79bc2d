package lineward.scheduling.execution;

import lineward.scheduling.decision.AdmissionPolicy;
import lineward.scheduling.decision.CancellationPolicy;
import lineward.scheduling.decision.ConcurrencyLimits;
import lineward.scheduling.decision.EngineEligibility;
import lineward.scheduling.decision.EngineLoadScore;
import lineward.scheduling.decision.EngineSelector;
import lineward.scheduling.decision.FinalAnswerPolicy;
import lineward.scheduling.decision.KeyOrder;
import lineward.scheduling.decision.LoadReportPolling;
import lineward.scheduling.decision.MigrationPolicy;
import lineward.scheduling.decision.OutlierDetector;
import lineward.scheduling.decision.ResourceLimits;
import lineward.scheduling.decision.RetryPolicy;
import lineward.scheduling.decision.SlowStart;
import lineward.scheduling.decision.SpeculativeCancellation;
import lineward.scheduling.state.EngineCapacity;
import lineward.scheduling.state.LoadReports;
import lineward.scheduling.state.RetryBudgetTracker;
import lineward.scheduling.state.SchedulerContext;

/** Creates and wires the policies of one scheduler and the classes that carry out their decisions. */
final class SchedulerComponents {
    final RetryBudgetTracker retryBudget;
    final LoadReports reports;
    final SlowStart slowStart;
    final ResourceLimits resources;
    final OutlierDetector outliers;
    final KeyOrder keyOrder;
    final LoadReportPolling polling;
    final SpeculativeCancellation speculation;
    final RequestLifecycle lifecycle;
    final DispatchQueue dispatchQueue;
    final AttemptEndHandler attemptEndHandler;
    final Sweep sweep;
    final PeriodicRecomputation recomputation;

    SchedulerComponents(SchedulerContext context) {
        EngineCapacity capacity = new EngineCapacity(context);
        retryBudget = new RetryBudgetTracker(context);
        reports = new LoadReports(context);
        slowStart = new SlowStart(context, capacity);
        resources = new ResourceLimits(context);
        outliers = new OutlierDetector(context);
        keyOrder = new KeyOrder(context);
        polling = new LoadReportPolling(context, reports, outliers);
        ConcurrencyLimits limits = new ConcurrencyLimits(context, capacity, reports, resources);
        RetryPolicy retries = new RetryPolicy(context, keyOrder, retryBudget);
        EngineEligibility eligibility = new EngineEligibility(context, limits, slowStart);
        CancellationPolicy cancellation = new CancellationPolicy(context);
        speculation = new SpeculativeCancellation(context, cancellation, retries, eligibility);
        FinalAnswerPolicy finalAnswers = new FinalAnswerPolicy(context, retries);
        lifecycle = new RequestLifecycle(context, cancellation, finalAnswers, keyOrder);
        EngineLoadScore score = new EngineLoadScore(context, limits, slowStart, resources, reports, capacity);
        EngineSelector selector = new EngineSelector(context, limits, retries, outliers, eligibility, score);
        AttemptStarter starter = new AttemptStarter(context, retries, retryBudget, outliers, resources);
        AdmissionPolicy admission = new AdmissionPolicy(context);
        dispatchQueue = new DispatchQueue(context, admission, selector, keyOrder, lifecycle, starter);
        OutcomeRecorder outcomeRecorder = new OutcomeRecorder(context, outliers, resources);
        attemptEndHandler =
                new AttemptEndHandler(context, outcomeRecorder, retries, keyOrder, lifecycle, dispatchQueue);
        MigrationPolicy migration = new MigrationPolicy(context, cancellation, retries, eligibility);
        sweep = new Sweep(context, outliers, speculation, cancellation, migration, lifecycle, keyOrder);
        recomputation = new PeriodicRecomputation(context, limits);
    }
}
