package lineward.scheduling.execution;

import java.util.OptionalDouble;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.decision.OutlierDetector;
import lineward.scheduling.decision.ResourceLimits;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Updates the estimators and the outlier detector with the outcomes of attempts. */
final class OutcomeRecorder {
    private final SchedulerContext context;
    private final OutlierDetector outliers;
    private final ResourceLimits resources;

    OutcomeRecorder(SchedulerContext context, OutlierDetector outliers, ResourceLimits resources) {
        this.context = context;
        this.outliers = outliers;
        this.resources = resources;
    }

    void recordOutcome(Attempt attempt, SchedulerEvent.AttemptEnded end) {
        switch (end.outcome()) {
            case OK -> {
                outliers.recordSuccess(attempt.engine());
                recordRunTime(attempt);
                recordResourceUse(attempt.request(), end);
            }
            case CANCELLED, TIMEOUT -> recordCensoredRun(attempt);
            case RESET -> {
                recordCensoredRun(attempt);
                outliers.recordReset(attempt.engine());
            }
            case CONNECT_FAILED -> outliers.recordConnectFailure(attempt.engine());
            case ERROR -> outliers.recordError(attempt.request(), attempt.engine());
            case REJECTED, NOT_STARTED -> {
                // Nothing ran, and the outcome is no sign of a faulty engine.
            }
        }
    }

    private void recordRunTime(Attempt attempt) {
        double nowMs = context.nowMs();
        ScheduledRequest request = attempt.request();
        ServiceTimeModel model = request.requestClass().serviceTimeModel();
        double runMs = attempt.runTimeMs(nowMs);
        double ratio = runMs / model.slowdown() / request.referenceRunMs();
        if (attempt.isFirstRun()) {
            recordFirstRun(attempt, runMs, ratio);
        } else if (request.isRelaunched()) {
            model.addRelaunch(ratio, nowMs);
        }
    }

    private void recordFirstRun(Attempt attempt, double runMs, double ratio) {
        double nowMs = context.nowMs();
        ScheduledRequest request = attempt.request();
        ServiceTimeModel model = request.requestClass().serviceTimeModel();
        model.addFirstRun(ratio, true);
        if (!request.hasWorkEstimate()) {
            model.addWork(runMs * request.threads(), nowMs);
        }
        context.serviceTimes().addCompletedRun(ratio);
        double logSlowdown = model.updateTypicalRatio(runMs / request.referenceRunMs());
        attempt.engine().recordSlowdown(logSlowdown, nowMs);
        model.addSlowdown(logSlowdown, nowMs);
        context.serviceTimes().addSlowdown(logSlowdown, nowMs);
    }

    private void recordResourceUse(ScheduledRequest request, SchedulerEvent.AttemptEnded end) {
        ServiceTimeModel model = request.requestClass().serviceTimeModel();
        if (end.memoryMb() > 0 && request.estimatedMemoryMb() > 0) {
            double logRatio = Math.log(end.memoryMb() / request.estimatedMemoryMb());
            double deviation = model.addMemoryDeviation(logRatio);
            resources.recordNeed(request.requestClass(), Math.exp(deviation));
        }
        if (end.workMs() > 0 && request.hasWorkEstimate()) {
            model.addWorkDeviation(Math.log(end.workMs() / request.estimatedWorkMs()));
        }
    }

    /**
     * Adds a first run that did not complete to the survival curve, as a censored one. A run that was due for
     * cancellation before the speculative timeout, because of its predicted run time, counts as one that
     * lasted until the timeout, or as long as predicted if that is less. Censored at its actual run time, it
     * would not count as a slow run, and the curve would lose its tail.
     */
    private void recordCensoredRun(Attempt attempt) {
        if (!attempt.isFirstRun() || attempt.isCancelledForMigration()) {
            return;
        }
        ScheduledRequest request = attempt.request();
        ServiceTimeModel model = request.requestClass().serviceTimeModel();
        double ratio = attempt.runTimeMs(context.nowMs()) / model.slowdown() / request.referenceRunMs();
        model.addFirstRun(Math.max(ratio, minCensoredRatio(attempt)), false);
    }

    private static double minCensoredRatio(Attempt attempt) {
        OptionalDouble predictedMs = attempt.predictedSlowRunMs();
        if (predictedMs.isEmpty()) {
            return 0;
        }
        double predicted = predictedMs.getAsDouble() / attempt.request().referenceRunMs();
        return Math.min(
                attempt.request().requestClass().speculativeTimeoutRatio().orElse(predicted), predicted);
    }
}
