package lineward.core;

import java.util.List;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;

/**
 * Turns the scheduler's actions into commands and deadlines. Actions on requests that are no more are
 * ignored.
 *
 * @param <X> the protocol's own record of a request
 */
final class ActionExecutor<X> implements SchedulerAction.Handler {
    /** An attempt's timeout lies so far ahead of the client's, so that the answer still finds it waiting. */
    private static final double ANSWER_MARGIN_MS = 10;

    private final Coordinator<X> coordinator;
    private final double cancelDurationMs;
    private double nowMs;

    ActionExecutor(Coordinator<X> coordinator, double cancelDurationMs) {
        this.coordinator = coordinator;
        this.cancelDurationMs = cancelDurationMs;
    }

    void execute(List<SchedulerAction> actions, double now) {
        nowMs = now;
        actions.forEach(action -> action.dispatchTo(this));
    }

    @Override
    public void startAttempt(SchedulerAction.StartAttempt start) {
        TrackedRequest<X> request = coordinator.request(start.request());
        if (request == null) {
            return;
        }
        int index = request.attempts.size();
        String engine = coordinator.engines().idOf(start.engine());
        TrackedRequest.Attempt attempt = new TrackedRequest.Attempt(engine);
        request.attempts.add(attempt);
        request.attemptsInFlight++;
        double timeoutAtMs = timeoutAtMs(request, start);
        if (request.completed || timeoutAtMs <= nowMs) {
            coordinator.attemptEnded(request.id, index, AttemptOutcome.NOT_STARTED);
            return;
        }
        attempt.deadline = coordinator.deadlines().add(timeoutAtMs, atMs -> expire(request, index));
        coordinator.tracer().attemptStarted(request.exchange, index, engine);
        coordinator.addCommand(startCommand(request, index, timeoutAtMs - nowMs, start.startWithinMs()));
    }

    private double timeoutAtMs(TrackedRequest<X> request, SchedulerAction.StartAttempt start) {
        double atMs = request.deadlineMs - ANSWER_MARGIN_MS;
        return start.timeoutMs() > 0 ? Math.min(atMs, nowMs + start.timeoutMs()) : atMs;
    }

    private Command<X> startCommand(TrackedRequest<X> request, int index, double timeoutMs, double withinMs) {
        return new Command.StartAttempt<>(
                request.exchange,
                request.id,
                index,
                request.attempts.get(index).engine,
                Math.max(1, Math.round(timeoutMs)),
                (long) Math.min(timeoutMs, withinMs),
                request.grantMb,
                request.priority);
    }

    private void expire(TrackedRequest<X> request, int index) {
        coordinator.addCommand(cancelCommand(request, index));
        coordinator.attemptEnded(request.id, index, AttemptOutcome.TIMEOUT);
    }

    private Command<X> cancelCommand(TrackedRequest<X> request, int index) {
        String engine = request.attempts.get(index).engine;
        return new Command.CancelAttempt<>(request.exchange, request.id, index, engine);
    }

    @Override
    public void cancelAttempt(SchedulerAction.CancelAttempt cancel) {
        TrackedRequest<X> request = coordinator.request(cancel.request());
        TrackedRequest.Attempt attempt = request == null ? null : request.inFlight(cancel.attempt());
        if (attempt == null || attempt.cancelled) {
            return;
        }
        attempt.cancelled = true;
        coordinator.addCommand(cancelCommand(request, cancel.attempt()));
        coordinator.deadlines().cancel(attempt.deadline);
        int index = cancel.attempt();
        double endsAtMs = nowMs + cancelDurationMs;
        attempt.deadline = coordinator.deadlines().add(endsAtMs, atMs -> endCancelled(request, index));
    }

    private void endCancelled(TrackedRequest<X> request, int index) {
        coordinator.attemptEnded(request.id, index, AttemptOutcome.CANCELLED);
    }

    @Override
    public void setResourceLimits(SchedulerAction.SetResourceLimits limits) {
        TrackedRequest<X> request = coordinator.request(limits.request());
        if (request == null) {
            return;
        }
        request.grantMb = limits.grantMb();
        if (request.priority != limits.priority()) {
            request.priority = limits.priority();
            changePriorityOfRunning(request);
        }
    }

    private void changePriorityOfRunning(TrackedRequest<X> request) {
        for (int i = 0; i < request.attempts.size(); i++) {
            TrackedRequest.Attempt attempt = request.attempts.get(i);
            if (attempt.isRunning()) {
                coordinator.addCommand(new Command.ChangePriority<>(
                        request.exchange, request.id, i, attempt.engine, request.priority));
            }
        }
    }

    @Override
    public void reject(SchedulerAction.Reject reject) {
        TrackedRequest<X> request = coordinator.request(reject.request());
        if (request != null && !request.completed) {
            long retryAfterMs = Math.round(reject.retryAfterMs());
            coordinator.addCommand(new Command.Reject<>(request.exchange, retryAfterMs));
            coordinator.complete(request, Tracer.Ending.REJECTED);
            coordinator.releaseIfDone(request);
        }
    }

    @Override
    public void fail(SchedulerAction.Fail fail) {
        TrackedRequest<X> request = coordinator.request(fail.request());
        if (request != null && !request.completed) {
            coordinator.addCommand(new Command.Fail<>(request.exchange));
            coordinator.complete(request, Tracer.Ending.FAILED);
            coordinator.releaseIfDone(request);
        }
    }

    @Override
    public void startHealthCheck(SchedulerAction.StartHealthCheck check) {
        String engine = coordinator.engines().idOf(check.engine());
        if (engine != null && coordinator.healthChecks().start(check.engine(), nowMs)) {
            coordinator.addCommand(new Command.CheckHealth<>(engine));
        }
    }

    @Override
    public void broadcastGossip(SchedulerAction.BroadcastGossip gossip) {
        coordinator.addCommand(new Command.BroadcastGossip<>(gossip.payload()));
    }

    @Override
    public void scheduleTimer(SchedulerAction.ScheduleTimer timer) {
        double atMs = nowMs + timer.delayMs();
        SchedulerEvent fired = new SchedulerEvent.TimerFired(timer.token());
        coordinator.deadlines().add(atMs, now -> coordinator.addEvent(fired));
    }

    /** Discovery pushes endpoints here: there is nothing to ask for. */
    @Override
    public void watchEndpoints(SchedulerAction.WatchEndpoints watch) {}

    @Override
    public void log(SchedulerAction.LogMessage message) {
        coordinator.tracer().log(message.text());
    }
}
