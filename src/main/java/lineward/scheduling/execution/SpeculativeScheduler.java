package lineward.scheduling.execution;

import java.util.List;
import lineward.scheduling.Endpoint;
import lineward.scheduling.Scheduler;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.decision.LoadReportPolling;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RequestClassState;
import lineward.scheduling.state.ScheduledRequest;
import lineward.scheduling.state.SchedulerContext;

/**
 * The scheduler of one pool of engines: passes each event to the class that handles it, sweeps over the
 * attempts in flight every {@value #SWEEP_INTERVAL_MS} ms, and dispatches queued requests. It is
 * deterministic: callers pass the time, random draws depend on the seed, and all loops run in a fixed order,
 * so the same calls give the same actions.
 */
public final class SpeculativeScheduler implements Scheduler, SchedulerEvent.Handler {
    /** Time between sweeps: short compared to any objective, long compared to the duration of a sweep. */
    private static final double SWEEP_INTERVAL_MS = 25;

    private static final int SWEEP_TIMER = 0;

    private final SchedulerContext context;
    private final SchedulerComponents components;
    private boolean pollingStarted;
    private boolean subscribePending;
    private boolean sweepScheduled;

    /**
     * Creates a scheduler without engines.
     *
     * @param settings the settings, fixed for the life of the scheduler
     * @param seed seed of its random draws
     */
    public SpeculativeScheduler(SchedulerSettings settings, long seed) {
        context = new SchedulerContext(settings, seed);
        components = new SchedulerComponents(context);
        subscribePending = settings.discovery().requiresSubscription();
    }

    @Override
    public List<SchedulerAction> decide(double nowMs, List<? extends SchedulerEvent> events) {
        context.beginDecision(nowMs);
        startSubscriptions();
        events.forEach(event -> event.dispatchTo(this));
        // Sweeps after all events: if the process was stalled, answers may follow the timer in the same
        // batch, and the sweep must not count their attempts as unanswered.
        if (events.stream().anyMatch(SchedulerEvent.TimerFired.class::isInstance)) {
            sweep();
        }
        components.sweep.migrateWaiting();
        // Gossip arrives far more often than requests, so gossip alone does not dispatch the queue; the next
        // sweep does.
        if (!events.stream().allMatch(SchedulerEvent.GossipReceived.class::isInstance)) {
            components.dispatchQueue.dispatch();
        }
        components.reports.publishGossip(SWEEP_INTERVAL_MS);
        scheduleSweep();
        return context.endDecision();
    }

    private void startSubscriptions() {
        if (subscribePending) {
            subscribePending = false;
            context.emit(new SchedulerAction.WatchEndpoints());
        }
        if (!pollingStarted) {
            pollingStarted = true;
            components.polling.start();
        }
    }

    private void sweep() {
        components.recomputation.runIfDue(components.dispatchQueue.isBlocked());
        components.sweep.detectSilentEngines();
        components.sweep.cancelAttempts();
        components.dispatchQueue.giveUpOverdue();
        components.sweep.removeExpiredState();
    }

    private void scheduleSweep() {
        if (!sweepScheduled && !context.hasNoRequests()) {
            sweepScheduled = true;
            context.emit(new SchedulerAction.ScheduleTimer(SWEEP_INTERVAL_MS, SWEEP_TIMER));
        }
    }

    @Override
    public int excludedEngineCount() {
        return (int) context.engines().stream()
                .filter(engine -> engine.state().isExcluded())
                .count();
    }

    @Override
    public void requestArrived(SchedulerEvent.RequestArrived arrival) {
        ScheduledRequest request = context.addRequest(arrival, components.speculation.drawExempt());
        RequestClassState type = request.requestClass();
        if (request.hasWorkEstimate()) {
            type.serviceTimeModel().addWork(request.expectedWorkMs(), context.nowMs());
        }
        components.retryBudget.recordAdmission();
        components.polling.countRequest();
        components.outliers.earnRecoveryProbe();
        type.demand().add(request.expectedWorkMs());
        components.keyOrder.add(request);
        components.dispatchQueue.add(request);
    }

    @Override
    public void attemptProgressed(SchedulerEvent.AttemptProgress report) {
        Attempt attempt = context.findAttemptInFlight(report.requestId(), report.attempt());
        if (attempt == null) {
            return;
        }
        attempt.engine().health().recordActivity(context.nowMs());
        attempt.setWaiting(report.kind().isWaiting(), context.nowMs());
        switch (report.kind()) {
            case RATIO_DONE -> attempt.recordProgress(report.amount(), context.nowMs());
            case SPILLING -> components.resources.recordSpill(attempt.request().requestClass());
            case WAITING_FOR_MEMORY, WAITING_FOR_LOAD -> components.sweep.recordWaiting(attempt);
        }
    }

    @Override
    public void attemptEnded(SchedulerEvent.AttemptEnded end) {
        components.attemptEndHandler.handle(end);
    }

    @Override
    public void responseStarted(SchedulerEvent.ResponseStarted response) {
        ScheduledRequest request = context.findRequest(response.requestId());
        if (request != null) {
            request.startResponse();
        }
    }

    @Override
    public void requestCancelled(SchedulerEvent.RequestCancelled cancelled) {
        ScheduledRequest request = context.findRequest(cancelled.requestId());
        if (request != null) {
            components.lifecycle.complete(request);
        }
    }

    @Override
    public void timerFired(SchedulerEvent.TimerFired timer) {
        if (timer.token() == LoadReportPolling.POLL_TIMER) {
            components.polling.poll();
        } else {
            sweepScheduled = false;
        }
    }

    @Override
    public void healthCheckCompleted(SchedulerEvent.HealthCheckCompleted check) {
        Engine engine = context.findEngine(check.engine());
        if (engine != null) {
            components.polling.applyHealthCheck(check, engine);
        }
    }

    @Override
    public void gossipReceived(SchedulerEvent.GossipReceived gossip) {
        components.reports.applyGossip(gossip.payload());
    }

    @Override
    public void quotaChanged(SchedulerEvent.QuotaChanged change) {
        components.slowStart.changeQuota(change.ratio());
    }

    @Override
    public void discoveryFailed(SchedulerEvent.DiscoveryFailed failure) {
        subscribePending = context.settings().discovery().requiresSubscription();
    }

    @Override
    public void endpointsChanged(SchedulerEvent.EndpointsChanged change) {
        if (change.fullSnapshot()) {
            context.markAllEnginesGone();
        }
        for (Endpoint endpoint : change.endpoints()) {
            boolean restarted = context.updateEngine(endpoint);
            if (restarted) {
                components.outliers.recordRestart(context.getOrCreateEngine(endpoint.engine()));
            }
        }
        context.countReadyCores();
    }

    /** Begins or ends maintenance, which endpoint updates never end. */
    @Override
    public void maintenanceChanged(SchedulerEvent.MaintenanceChanged change) {
        Engine engine = context.getOrCreateEngine(change.engine());
        if (change.underMaintenance()) {
            engine.beginMaintenance();
        } else {
            engine.release(change.sinceMs());
        }
        context.countReadyCores();
    }
}
