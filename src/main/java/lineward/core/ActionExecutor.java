package lineward.core;

import java.util.List;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;

/**
 * Executes the scheduler's actions for the coordinator, by issuing commands to the forwarder and setting
 * deadlines. Ignores actions on requests that have already been released. Called by the coordinator, on the
 * event loop.
 *
 * @param <X> the protocol's representation of a request
 */
final class ActionExecutor<X> implements SchedulerAction.Handler {
    /** An attempt times out this long before its request's deadline, which leaves time to send an answer. */
    private static final double ANSWER_MARGIN_MS = 10;

    private final Coordinator<X> coordinator;
    private final double cancelTimeoutMs;
    private double nowMs;

    ActionExecutor(Coordinator<X> coordinator, double cancelTimeoutMs) {
        this.coordinator = coordinator;
        this.cancelTimeoutMs = cancelTimeoutMs;
    }

    /** Executes the actions in order; {@code now} is the current time for all of them. */
    void execute(List<SchedulerAction> actions, double now) {
        nowMs = now;
        actions.forEach(action -> action.dispatchTo(this));
    }

    @Override
    public void startAttempt(SchedulerAction.StartAttempt start) {
        TrackedRequest<X> request = coordinator.request(start.requestId());
        if (request == null) {
            return;
        }
        String engineId = coordinator.engines().idOf(start.engine());
        TrackedAttempt attempt = request.addAttempt(engineId);
        double timeoutAtMs = timeoutAtMs(request, start);
        if (request.isCompleted() || timeoutAtMs <= nowMs) {
            coordinator.attemptEnded(request.id(), attempt.number(), AttemptOutcome.NOT_STARTED);
            return;
        }
        attempt.setDeadline(coordinator.deadlines().add(timeoutAtMs, atMs -> expire(request, attempt)));
        coordinator.tracer().attemptStarted(request.protocolRequest(), attempt.number(), engineId);
        coordinator.addCommand(startCommand(request, attempt, timeoutAtMs - nowMs, start.startWithinMs()));
    }

    private double timeoutAtMs(TrackedRequest<X> request, SchedulerAction.StartAttempt start) {
        double atMs = request.deadlineMs() - ANSWER_MARGIN_MS;
        return start.timeoutMs() > 0 ? Math.min(atMs, nowMs + start.timeoutMs()) : atMs;
    }

    private Command<X> startCommand(
            TrackedRequest<X> request, TrackedAttempt attempt, double timeoutMs, double startWithinMs) {
        return new Command.StartAttempt<>(
                request.protocolRequest(),
                request.id(),
                attempt.number(),
                attempt.engineId(),
                Math.max(1, Math.round(timeoutMs)),
                (long) Math.min(timeoutMs, startWithinMs),
                request.grantMb(),
                request.priority());
    }

    private void expire(TrackedRequest<X> request, TrackedAttempt attempt) {
        coordinator.addCommand(cancelCommand(request, attempt));
        coordinator.attemptEnded(request.id(), attempt.number(), AttemptOutcome.TIMEOUT);
    }

    private Command<X> cancelCommand(TrackedRequest<X> request, TrackedAttempt attempt) {
        int numberInRequest = attempt.number();
        return new Command.CancelAttempt<>(
                request.protocolRequest(), request.id(), numberInRequest, attempt.engineId());
    }

    @Override
    public void cancelAttempt(SchedulerAction.CancelAttempt cancel) {
        TrackedRequest<X> request = coordinator.request(cancel.requestId());
        TrackedAttempt attempt = request == null ? null : request.attemptInFlight(cancel.attempt());
        if (attempt == null || !attempt.cancel()) {
            return;
        }
        coordinator.addCommand(cancelCommand(request, attempt));
        coordinator.deadlines().cancel(attempt.deadline());
        double endsAtMs = nowMs + cancelTimeoutMs;
        attempt.setDeadline(coordinator.deadlines().add(endsAtMs, atMs -> endCancelled(request, attempt)));
    }

    private void endCancelled(TrackedRequest<X> request, TrackedAttempt attempt) {
        coordinator.attemptEnded(request.id(), attempt.number(), AttemptOutcome.CANCELLED);
    }

    @Override
    public void setResourceLimits(SchedulerAction.SetResourceLimits limits) {
        TrackedRequest<X> request = coordinator.request(limits.requestId());
        if (request != null && request.setResourceLimits(limits.grantMb(), limits.priority())) {
            changePriorityOfRunning(request);
        }
    }

    private void changePriorityOfRunning(TrackedRequest<X> request) {
        for (TrackedAttempt attempt : request.attempts()) {
            if (attempt.isRunning()) {
                coordinator.addCommand(priorityCommand(request, attempt));
            }
        }
    }

    private Command<X> priorityCommand(TrackedRequest<X> request, TrackedAttempt attempt) {
        int numberInRequest = attempt.number();
        String engineId = attempt.engineId();
        int priority = request.priority();
        return new Command.ChangePriority<>(
                request.protocolRequest(), request.id(), numberInRequest, engineId, priority);
    }

    @Override
    public void reject(SchedulerAction.Reject reject) {
        TrackedRequest<X> request = coordinator.request(reject.requestId());
        if (request != null && coordinator.complete(request, Tracer.Ending.REJECTED)) {
            long retryAfterMs = Math.round(reject.retryAfterMs());
            coordinator.addCommand(new Command.Reject<>(request.protocolRequest(), retryAfterMs));
            coordinator.releaseIfDone(request);
        }
    }

    @Override
    public void fail(SchedulerAction.Fail fail) {
        TrackedRequest<X> request = coordinator.request(fail.requestId());
        if (request != null && coordinator.complete(request, Tracer.Ending.FAILED)) {
            coordinator.addCommand(new Command.Fail<>(request.protocolRequest()));
            coordinator.releaseIfDone(request);
        }
    }

    @Override
    public void startHealthCheck(SchedulerAction.StartHealthCheck check) {
        String engineId = coordinator.engines().idOf(check.engine());
        if (engineId != null) {
            coordinator
                    .healthChecks()
                    .start(check.engine(), nowMs)
                    .ifPresent(number -> coordinator.addCommand(new Command.CheckHealth<>(engineId, number)));
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

    /** Does nothing, because service discovery pushes endpoint updates to the coordinator. */
    @Override
    public void watchEndpoints(SchedulerAction.WatchEndpoints watch) {}

    @Override
    public void log(SchedulerAction.LogMessage message) {
        coordinator.tracer().log(message.text());
    }
}
