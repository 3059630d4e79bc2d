package lineward.scheduling;

import java.util.ArrayList;
import java.util.List;

/**
 * The scheduler of one pool of engines: takes events in and hands each to the mechanism that it concerns,
 * sweeps over what is in flight every {@value #SWEEP_INTERVAL_MS} ms, and dispatches what is queued. Time
 * comes from events only, chance from the seed only, and all loops run in a fixed order.
 */
public final class SpeculativeScheduler implements Scheduler, SchedulerEvent.Handler {
    /** Time between sweeps: short against any objective, long against the cost of one. */
    private static final double SWEEP_INTERVAL_MS = 25;

    private static final int SWEEP_TIMER = 0;
    /** Time between two recomputations of tau and quotas. */
    private static final double RECOMPUTE_INTERVAL_MS = 500;

    private final SchedulerContext context;
    private final SlowStart slowStart;
    private final OutlierDetector outliers;
    private final LoadReports reports;
    private final LoadReportPolling polling;
    private final ConcurrencyLimits limits;
    private final KeyOrder keyOrder;
    private final RetryBudgetTracker budget;
    private final AdmissionPolicy admission;
    private final RequestLifecycle lifecycle;
    private final ResourceLimits resources;
    private final SpeculativeCancellation cancellation;
    private final AdmissionQueue queue;
    private final AttemptOutcomes outcomes;
    private boolean started;
    private boolean subscribePending;
    private boolean sweepScheduled;
    private double nextRecomputeMs;

    /**
     * Creates a scheduler that knows no engines yet.
     *
     * @param settings what the deployment permits and asks for
     * @param seed of its random draws
     */
    public SpeculativeScheduler(SchedulerSettings settings, long seed) {
        context = new SchedulerContext(settings, seed);
        EngineCapacity capacity = new EngineCapacity(context);
        slowStart = new SlowStart(context, capacity);
        outliers = new OutlierDetector(context);
        reports = new LoadReports(context);
        polling = new LoadReportPolling(context, reports, outliers);
        limits = new ConcurrencyLimits(context, capacity, reports);
        keyOrder = new KeyOrder(context);
        budget = new RetryBudgetTracker(context);
        RetryPolicy retries = new RetryPolicy(context, keyOrder, slowStart, budget);
        admission = new AdmissionPolicy(context);
        lifecycle = new RequestLifecycle(context, retries, keyOrder);
        resources = new ResourceLimits(context);
        cancellation = new SpeculativeCancellation(context, limits, retries, budget, slowStart, lifecycle);
        EngineSelector engineSelector = newSelector(retries, capacity);
        AttemptStarter starter = new AttemptStarter(context, retries, budget, outliers, resources);
        queue = new AdmissionQueue(context, admission, engineSelector, keyOrder, lifecycle, starter);
        OutcomeLearning learning = new OutcomeLearning(context, outliers, resources);
        outcomes = new AttemptOutcomes(context, learning, retries, keyOrder, lifecycle, queue);
        subscribePending = settings.discovery().subscribe();
    }

    private EngineSelector newSelector(RetryPolicy retries, EngineCapacity capacity) {
        return new EngineSelector(context, limits, retries, outliers, slowStart, reports, capacity);
    }

    @Override
    public List<SchedulerAction> decide(double nowMs, List<? extends SchedulerEvent> events) {
        context.beginDecision(nowMs);
        if (subscribePending) {
            subscribePending = false;
            context.emit(new SchedulerAction.WatchEndpoints());
        }
        if (!started) {
            started = true;
            polling.start();
        }
        events.forEach(event -> event.dispatchTo(this));
        // After a stall a timer comes ahead of answers long there: read all, then judge.
        if (events.stream().anyMatch(SchedulerEvent.TimerFired.class::isInstance)) {
            sweep();
        }
        cancellation.migrateWaiting();
        // Gossip comes far more often than requests: what it changes waits for the next sweep.
        if (!events.stream().allMatch(SchedulerEvent.GossipReceived.class::isInstance)) {
            queue.dispatch();
        }
        reports.publishGossip(SWEEP_INTERVAL_MS);
        scheduleSweep();
        return context.endDecision();
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !context.requests.isEmpty()) {
            sweepScheduled = true;
            context.emit(new SchedulerAction.ScheduleTimer(SWEEP_INTERVAL_MS, SWEEP_TIMER));
        }
    }

    @Override
    public int excludedEngines() {
        return (int) context.engines.values().stream()
                .filter(engine -> !engine.gone && (engine.ejected || engine.underMaintenance))
                .count();
    }

    @Override
    public void requestArrived(SchedulerEvent.RequestArrived arrival) {
        int lastClass = context.classes.size() - 1;
        ClassState type = context.classes.get(Math.min(arrival.requestClass(), lastClass));
        boolean exempt = cancellation.drawExempt();
        TrackedRequest request = new TrackedRequest(arrival, type, exempt, context.nowMs());
        context.requests.put(request.id, request);
        if (request.hasWorkEstimate()) {
            type.model.addWork(request.expectedWorkMs(), context.nowMs());
        }
        budget.recordAdmission();
        polling.countRequest();
        outliers.earnRecoveryProbe();
        type.demand.add(request.expectedWorkMs());
        keyOrder.add(request);
        queue.add(request);
    }

    @Override
    public void attemptProgressed(SchedulerEvent.AttemptProgress report) {
        Attempt attempt = context.attemptInFlight(report.request(), report.attempt());
        if (attempt == null) {
            return;
        }
        attempt.engine.lastResponseMs = context.nowMs();
        attempt.setWaiting(report.kind().isWaiting(), context.nowMs());
        switch (report.kind()) {
            case RATIO_DONE -> {
                attempt.progress = report.amount();
                attempt.progressAtMs = context.nowMs();
            }
            case SPILLING -> resources.recordSpill(attempt.request.type);
            case WAITING_FOR_MEMORY, WAITING_FOR_LOAD -> cancellation.recordWaiting(attempt);
        }
    }

    @Override
    public void attemptEnded(SchedulerEvent.AttemptEnded end) {
        outcomes.end(end);
    }

    @Override
    public void responseStarted(SchedulerEvent.ResponseStarted response) {
        TrackedRequest request = context.requests.get(response.request());
        if (request != null) {
            request.streaming = true;
        }
    }

    @Override
    public void requestCancelled(SchedulerEvent.RequestCancelled cancelled) {
        TrackedRequest request = context.requests.get(cancelled.request());
        if (request != null) {
            lifecycle.complete(request);
        }
    }

    @Override
    public void timerFired(SchedulerEvent.TimerFired timer) {
        if (timer.token() == LoadReportPolling.TIMER) {
            polling.poll();
        } else {
            sweepScheduled = false;
        }
    }

    @Override
    public void healthCheckCompleted(SchedulerEvent.HealthCheckCompleted check) {
        Engine engine = context.engines.get(check.engine());
        if (engine != null) {
            polling.complete(check, engine);
        }
    }

    @Override
    public void gossipReceived(SchedulerEvent.GossipReceived gossip) {
        reports.applyGossip(gossip.payload());
    }

    @Override
    public void quotaChanged(SchedulerEvent.QuotaChanged change) {
        slowStart.changeQuota(change.ratio());
    }

    @Override
    public void discoveryFailed(SchedulerEvent.DiscoveryFailed failure) {
        subscribePending = context.settings.discovery().subscribe();
    }

    @Override
    public void endpointsChanged(SchedulerEvent.EndpointsChanged change) {
        if (change.fullSnapshot()) {
            context.engines.values().forEach(Engine::unlist);
        }
        for (Endpoint endpoint : change.endpoints()) {
            Engine engine = context.engine(endpoint.engine());
            if (engine.update(endpoint, context.settings.kindOf(endpoint))) {
                outliers.forgetFailures(engine);
            }
        }
        context.countReadyCores();
    }

    /** No endpoint update ends maintenance; an engine is restarted meanwhile and comes back cold. */
    @Override
    public void maintenanceChanged(SchedulerEvent.MaintenanceChanged change) {
        Engine engine = context.engine(change.engine());
        engine.setMaintenance(change.underMaintenance(), change.sinceMs());
        engine.ejected &= change.underMaintenance();
        engine.consecutiveFailures = 0;
        context.countReadyCores();
    }

    /** Judges all that is in flight and queued. */
    private void sweep() {
        recompute();
        context.engines.values().forEach(outliers::detectSilence);
        for (Engine engine : context.engines.values()) {
            for (Attempt attempt : new ArrayList<>(engine.attempts)) {
                if (!cancellation.cancelIfDue(attempt) && admission.hasNoValue(attempt)) {
                    lifecycle.giveUp(attempt.request);
                }
            }
        }
        queue.rejectOverdue();
        keyOrder.forgetSettledKeys();
        context.engines.values().removeIf(this::isForgettable);
    }

    private boolean isForgettable(Engine engine) {
        return engine.gone
                && !engine.underMaintenance
                && engine.attempts.isEmpty()
                && engine.sentWork.sum(context.nowMs()) == 0;
    }

    private void recompute() {
        if (context.nowMs() < nextRecomputeMs) {
            return;
        }
        nextRecomputeMs = context.nowMs() + RECOMPUTE_INTERVAL_MS;
        context.recomputeServiceTimes();
        context.classes.forEach(cancellation::recomputeTau);
        context.recomputeDemand();
        limits.adaptQuota(queue.isBlocked(), RECOMPUTE_INTERVAL_MS);
    }
}
