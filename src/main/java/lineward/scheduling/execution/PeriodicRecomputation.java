package lineward.scheduling.execution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lineward.scheduling.decision.ConcurrencyLimits;
import lineward.scheduling.decision.SpeculativeTimeout;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RequestClassState;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/** Recomputes the estimates, the speculative timeouts, the demand and the quota, twice a second. */
final class PeriodicRecomputation {
    private static final double INTERVAL_MS = 500;

    private final SchedulerContext context;
    private final ConcurrencyLimits limits;
    private double nextRunAtMs;

    PeriodicRecomputation(SchedulerContext context, ConcurrencyLimits limits) {
        this.context = context;
        this.limits = limits;
    }

    void runIfDue(boolean requestsBlocked) {
        if (context.nowMs() < nextRunAtMs) {
            return;
        }
        nextRunAtMs = context.nowMs() + INTERVAL_MS;
        recomputeServiceTimes();
        for (RequestClassState type : context.classes()) {
            type.setSpeculativeTimeoutRatio(SpeculativeTimeout.timeoutRatio(type, context.nowMs()));
        }
        context.recomputeDemand();
        limits.adaptQuota(requestsBlocked, INTERVAL_MS);
    }

    private void recomputeServiceTimes() {
        double nowMs = context.nowMs();
        Map<RequestClassState, List<Double>> inFlight = firstRunsInFlight();
        context.serviceTimes().recomputeSlowdown(nowMs);
        for (RequestClassState type : context.classes()) {
            type.serviceTimeModel().recompute(nowMs, inFlight.get(type));
            type.demand().decay(nowMs);
        }
        context.serviceTimes().decay(nowMs);
    }

    private Map<RequestClassState, List<Double>> firstRunsInFlight() {
        Map<RequestClassState, List<Double>> ratios = new LinkedHashMap<>();
        context.classes().forEach(type -> ratios.put(type, new ArrayList<>()));
        for (Engine engine : context.engines()) {
            for (Attempt attempt : engine.attemptsInFlight()) {
                if (attempt.isFirstRun() && attempt.isRunning()) {
                    ScheduledRequest request = attempt.request();
                    double ratio = attempt.runTimeMs(context.nowMs()) / request.referenceRunMs();
                    ratios.get(request.requestClass()).add(ratio);
                }
            }
        }
        return ratios;
    }
}
