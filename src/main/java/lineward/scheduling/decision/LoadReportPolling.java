package lineward.scheduling.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.state.EjectionCause;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.LoadReports;
import lineward.scheduling.state.SchedulerContext;

/**
 * Decides which engines are polled for load reports and how often. Front ends share the reports by gossip.
 */
public final class LoadReportPolling {
    /** Token of the timer for the next poll. */
    public static final int POLL_TIMER = 1;
    /**
     * Maximum cost of polling per admitted request, in points of the evaluation score like
     * {@link SchedulerSettings.MessageCosts}. It is far below the cost of overload.
     */
    private static final double COST_BUDGET = 0.01;

    private static final double MIN_INTERVAL_MS = 250;
    private static final double MAX_DELAY_MS = 10_000;
    private static final int ENGINES_PER_POLL = 4;
    private static final double MIN_RATE_PERIOD_MS = 1_000;
    private static final double MIN_DELAY_FACTOR = 0.5;
    /** Sorts an engine that has never reported before all others. */
    private static final double NEVER_REPORTED = Double.NEGATIVE_INFINITY;

    private record Candidate(Engine engine, double lastReportMs) {}

    private final SchedulerContext context;
    private final LoadReports reports;
    private final OutlierDetector outliers;
    private double requestsSeen;

    /** Creates a policy over the given scheduler state. */
    public LoadReportPolling(SchedulerContext context, LoadReports reports, OutlierDetector outliers) {
        this.context = context;
        this.reports = reports;
        this.outliers = outliers;
    }

    /** Schedules the first poll, if front ends share load reports. */
    public void start() {
        if (reports.areShared()) {
            scheduleTimer(context.drawRandom() * MIN_INTERVAL_MS);
        }
    }

    /** Counts an admitted request; the cost budget of polling grows with the request rate. */
    public void countRequest() {
        requestsSeen++;
    }

    /** Polls the engines with the oldest load reports and schedules the next poll. */
    public void poll() {
        List<Candidate> candidates = new ArrayList<>();
        for (Engine engine : context.engines()) {
            if (engine.isReady() && engine.load().healthCheckStartedMs().isEmpty()) {
                candidates.add(new Candidate(engine, jitteredReportMs(engine)));
            }
        }
        candidates.sort(Comparator.comparingDouble(Candidate::lastReportMs));
        candidates.stream().limit(ENGINES_PER_POLL).forEach(candidate -> startCheck(candidate.engine()));
        double delayMs = Math.min(MAX_DELAY_MS, ENGINES_PER_POLL * intervalPerEngineMs(candidates.size()));
        scheduleTimer(delayMs * (MIN_DELAY_FACTOR + context.drawRandom()));
    }

    /**
     * Returns the time of the engine's last report, with a jitter so that front ends, which share their
     * reports, do not all poll the same engine.
     */
    private double jitteredReportMs(Engine engine) {
        double jitterMs = context.drawRandom() * MIN_INTERVAL_MS;
        OptionalDouble reportedAtMs = engine.load().reportedAtMs();
        return reportedAtMs.isPresent() ? reportedAtMs.getAsDouble() - jitterMs : NEVER_REPORTED;
    }

    /**
     * Returns the mean time to allow for each polled engine. It is long enough that polling stays within its
     * cost budget, and that all front ends together poll each engine about once in {@value #MIN_INTERVAL_MS}
     * ms at most.
     */
    private double intervalPerEngineMs(int engineCount) {
        SchedulerSettings.MessageCosts costs = context.settings().messageCosts();
        int frontEnds = context.settings().position().frontEndCount();
        double gossipCost = costs.gossip() * reports.reportSizeRatio() * (frontEnds - 1);
        double observedMs = Math.max(MIN_RATE_PERIOD_MS, context.nowMs() - context.startedMs());
        double requestsPerMs = Math.max(1, requestsSeen) / observedMs;
        double evenIntervalMs = MIN_INTERVAL_MS * frontEnds / (engineCount + 1);
        return Math.max(evenIntervalMs, (costs.healthCheck() + gossipCost) / COST_BUDGET / requestsPerMs);
    }

    private void scheduleTimer(double delayMs) {
        context.emit(new SchedulerAction.ScheduleTimer(delayMs, POLL_TIMER));
    }

    private void startCheck(Engine engine) {
        engine.load().startHealthCheck(context.nowMs());
        context.emit(new SchedulerAction.StartHealthCheck(engine.id()));
    }

    /**
     * Applies the result of a health check: the load report of a successful one is stored, a failed one
     * ejects the engine, and a rejected one has no effect.
     */
    public void applyHealthCheck(SchedulerEvent.HealthCheckCompleted check, Engine engine) {
        engine.load().endHealthCheck();
        if (check.outcome() == AttemptOutcome.OK) {
            reports.apply(engine, check.loadReport());
            reports.collectGossip(engine);
        } else if (check.outcome() != AttemptOutcome.REJECTED) {
            outliers.eject(engine, EjectionCause.HEALTH_CHECK);
        }
    }
}
