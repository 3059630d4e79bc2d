package lineward.scheduling;

/** Hands what an attempt's end tells to the estimators and to the outlier detector. */
final class OutcomeLearning {
    private final SchedulerContext context;
    private final OutlierDetector outliers;
    private final ResourceLimits resources;

    OutcomeLearning(SchedulerContext context, OutlierDetector outliers, ResourceLimits resources) {
        this.context = context;
        this.outliers = outliers;
        this.resources = resources;
    }

    void learn(Attempt attempt, SchedulerEvent.AttemptEnded end) {
        switch (end.outcome()) {
            case OK -> {
                outliers.recordSuccess(attempt.engine);
                learnRunTime(attempt);
                learnNeeds(attempt.request, end);
            }
            case CANCELLED, TIMEOUT -> learnCensoredRun(attempt);
            case RESET -> {
                learnCensoredRun(attempt);
                outliers.recordReset(attempt.engine);
            }
            case CONNECT_FAILED -> outliers.recordConnectFailure(attempt.engine);
            case ERROR -> outliers.attributeError(attempt.request, attempt.engine);
            case REJECTED, NOT_STARTED -> {
                // Nothing ran, and nothing speaks against the engine.
            }
        }
    }

    private void learnRunTime(Attempt attempt) {
        double nowMs = context.nowMs();
        TrackedRequest request = attempt.request;
        ServiceTimeModel model = request.type.model;
        double runMs = attempt.runTimeMs(nowMs);
        double ratio = runMs / model.slowdown() / request.workUnitMs;
        if (attempt.firstRun) {
            model.addFirstRun(ratio, true);
            if (!request.hasWorkEstimate()) {
                model.addWork(runMs * request.threads(), nowMs);
            }
            context.fleet.add(ratio);
            double logSlowdown = model.addToUsual(runMs / request.workUnitMs);
            attempt.engine.recordSlowdown(logSlowdown, nowMs);
            model.addSlowdown(logSlowdown, nowMs);
            context.fleet.addSlowdown(logSlowdown, nowMs);
        } else if (request.relaunched) {
            model.addRelaunch(ratio, nowMs);
        }
    }

    private void learnNeeds(TrackedRequest request, SchedulerEvent.AttemptEnded end) {
        ServiceTimeModel model = request.type.model;
        if (end.memoryMb() > 0 && request.estimatedMemoryMb > 0) {
            double deviation = model.memoryBias.add(Math.log(end.memoryMb() / request.estimatedMemoryMb));
            resources.recordNeed(request.type, Math.exp(deviation));
        }
        if (end.workMs() > 0 && request.hasWorkEstimate()) {
            model.workBias.add(Math.log(end.workMs() / request.estimatedWorkMs));
        }
    }

    /**
     * A first run cut short leaves the curve at tau at the earliest: else stragglers would fade from its
     * tail.
     */
    private void learnCensoredRun(Attempt attempt) {
        if (!attempt.firstRun || attempt.migrating) {
            return;
        }
        TrackedRequest request = attempt.request;
        ServiceTimeModel model = request.type.model;
        double ratio = attempt.runTimeMs(context.nowMs()) / model.slowdown() / request.workUnitMs;
        double predicted = attempt.predictedRunMs / request.workUnitMs;
        double least = attempt.cancelledEarly ? Math.min(request.type.tauRatio, predicted) : 0;
        model.addFirstRun(Math.max(ratio, least), false);
    }
}
