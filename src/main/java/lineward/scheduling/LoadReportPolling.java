package lineward.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Decides which engines' load to ask for, and how often: front ends poll them for each other. */
final class LoadReportPolling {
    /** Token of the timer for this front end's turns to poll. */
    static final int TIMER = 1;
    /** Points of the result that polling may cost: far under what a jam costs. */
    private static final double COST_BUDGET = 0.01;
    /** Shortest time between two polls of an engine: reports are refreshed no faster. */
    private static final double MIN_INTERVAL_MS = 250;

    private static final double MAX_DELAY_MS = 10_000;
    /** Engines polled in one turn: a message has a cost of its own, whatever it says. */
    private static final int ENGINES_PER_POLL = 4;

    private static final double MIN_TRAFFIC_PERIOD_MS = 1_000;

    private final SchedulerContext context;
    private final LoadReports reports;
    private final OutlierDetector outliers;
    private double requestsSeen;

    LoadReportPolling(SchedulerContext context, LoadReports reports, OutlierDetector outliers) {
        this.context = context;
        this.reports = reports;
        this.outliers = outliers;
    }

    /** Sets the first timer, where engines report their load. */
    void start() {
        if (reports.areShared()) {
            double delayMs = context.random.nextDouble() * MIN_INTERVAL_MS;
            context.emit(new SchedulerAction.ScheduleTimer(delayMs, TIMER));
        }
    }

    void countRequest() {
        requestsSeen++;
    }

    /** Polls some engines and sets the next timer, as often as that may cost for the traffic seen here. */
    void poll() {
        List<Engine> longestUnseen = new ArrayList<>();
        for (Engine engine : context.engines.values()) {
            if (engine.ready && engine.healthCheckStartedMs == 0) {
                // At random, or all front ends would poll the same one.
                engine.pollOrder = engine.reportedAtMs - context.random.nextDouble() * MIN_INTERVAL_MS;
                longestUnseen.add(engine);
            }
        }
        longestUnseen.sort(Comparator.comparingDouble(engine -> engine.pollOrder));
        longestUnseen.stream().limit(ENGINES_PER_POLL).forEach(this::check);
        double delayMs = Math.min(MAX_DELAY_MS, ENGINES_PER_POLL * intervalMs(longestUnseen.size()));
        double jitteredMs = delayMs * (0.5 + context.random.nextDouble());
        context.emit(new SchedulerAction.ScheduleTimer(jitteredMs, TIMER));
    }

    private double intervalMs(int engines) {
        SchedulerSettings.Costs costs = context.settings.costs();
        int frontEnds = context.settings.position().frontEnds();
        double gossipBytes = costs.gossip() * reports.gossipBytes() * (frontEnds - 1);
        double gossipCost = gossipBytes / GossipCodec.MAX_PAYLOAD;
        double seenForMs = Math.max(MIN_TRAFFIC_PERIOD_MS, context.nowMs() - context.startedMs());
        double requestsPerMs = Math.max(1, requestsSeen) / seenForMs;
        double evenMs = MIN_INTERVAL_MS * frontEnds / (engines + 1);
        return Math.max(evenMs, (costs.healthCheck() + gossipCost) / COST_BUDGET / requestsPerMs);
    }

    private void check(Engine engine) {
        engine.healthCheckStartedMs = context.nowMs();
        context.emit(new SchedulerAction.StartHealthCheck(engine.id));
    }

    /** Takes in the end of a health check; one that is rejected says nothing. */
    void complete(SchedulerEvent.HealthCheckCompleted check, Engine engine) {
        engine.healthCheckStartedMs = 0;
        if (check.outcome() == AttemptOutcome.OK) {
            reports.apply(engine, check.loadReport());
            reports.collectGossip(engine);
        } else if (check.outcome() != AttemptOutcome.REJECTED) {
            outliers.eject(engine, EjectionCause.HEALTH_CHECK);
        }
    }
}
