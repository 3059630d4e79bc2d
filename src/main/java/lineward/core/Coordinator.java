package lineward.core;

import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.Endpoint;
import lineward.scheduling.ProgressKind;
import lineward.scheduling.Scheduler;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;

/**
 * Drives the scheduler of one pool of engines: takes events in, batches them until the next tick and hands
 * the scheduler's actions out as commands. It knows no protocol; the clock comes with each call and never
 * goes back.
 *
 * @param <X> the protocol's own record of a request
 */
public final class Coordinator<X> {
    private static final double[] NO_REPORT = new double[0];

    private final Scheduler scheduler;
    private final Tracer<X> tracer;
    private final GenerationalTable<TrackedRequest<X>> requests;
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final EngineNumbers engines = new EngineNumbers();
    private final HealthChecks healthChecks = new HealthChecks(deadlines, this::addEvent);
    private final ActionExecutor<X> executor;
    private List<SchedulerEvent> events = new ArrayList<>();
    private List<Command<X>> commands = new ArrayList<>();
    private int openRequests;
    private double shutdownDeadlineMs = Double.POSITIVE_INFINITY;

    /**
     * Creates a coordinator that knows no engines yet.
     *
     * @param scheduler decides for this pool alone
     * @param capacity the most requests in progress at once; what comes beyond is rejected
     * @param cancelDurationMs longest from a cancel to the attempt's end: a relaunch must not overtake it
     * @param tracer is notified of what becomes of requests and attempts
     */
    public Coordinator(Scheduler scheduler, int capacity, double cancelDurationMs, Tracer<X> tracer) {
        this.scheduler = scheduler;
        this.requests = new GenerationalTable<>(capacity);
        this.tracer = tracer;
        this.executor = new ActionExecutor<>(this, cancelDurationMs);
    }

    /**
     * Admits a request.
     *
     * @return the request's id, or {@link GenerationalTable#FULL} if there is no room and it must be rejected
     */
    public long admit(double nowMs, RequestAttributes attributes, X exchange) {
        double timeLeftMs = Math.min(attributes.timeLeftMs(), shutdownDeadlineMs - nowMs);
        TrackedRequest<X> request = new TrackedRequest<>(exchange, nowMs + timeLeftMs);
        request.id = requests.add(request);
        if (request.id != GenerationalTable.FULL) {
            openRequests++;
            tracer.requestAdmitted(exchange);
            addEvent(attributes.toEvent(request.id, timeLeftMs));
        }
        return request.id;
    }

    /** Requests admitted from now on must complete by then: others are rejected and may succeed elsewhere. */
    public void setShutdownDeadline(double atMs) {
        shutdownDeadlineMs = atMs;
    }

    /** The client of a request has gone; no answer is owed any more. A completed request is ignored. */
    public void cancelRequest(long requestId) {
        TrackedRequest<X> request = requests.get(requestId);
        if (request != null && !request.completed) {
            cancel(request);
        }
    }

    private void cancel(TrackedRequest<X> request) {
        complete(request, Tracer.Ending.CANCELLED);
        addEvent(new SchedulerEvent.RequestCancelled(request.id));
        releaseIfDone(request);
    }

    /** Answers all open requests as failed. */
    public void failOpenRequests() {
        requests.forEach(request -> {
            if (!request.completed) {
                commands.add(new Command.Fail<>(request.exchange));
                complete(request, Tracer.Ending.FAILED);
                addEvent(new SchedulerEvent.RequestCancelled(request.id));
                releaseIfDone(request);
            }
        });
    }

    /**
     * An attempt has ended.
     *
     * @return whether the caller now owes the client the answer 'served': true once at most for a request
     */
    public boolean attemptEnded(long requestId, int attempt, AttemptOutcome outcome) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedRequest.Attempt ended = request == null ? null : request.inFlight(attempt);
        if (ended == null) {
            return false;
        }
        ended.inFlight = false;
        request.attemptsInFlight--;
        deadlines.cancel(ended.deadline);
        tracer.attemptEnded(request.exchange, attempt, outcome);
        boolean served = outcome == AttemptOutcome.OK && !request.completed;
        if (served) {
            complete(request, Tracer.Ending.SERVED);
        } else if (request.streaming == ended && !request.completed) {
            complete(request, Tracer.Ending.FAILED);
        }
        boolean completed = request.completed;
        addEvent(new SchedulerEvent.AttemptEnded(requestId, attempt, outcome, completed, 0, 0, NO_REPORT));
        releaseIfDone(request);
        return served;
    }

    /**
     * The response has begun to reach the client: the attempt is the client's now, and no deadline counts for
     * it.
     *
     * @return false if the request is completed, or the attempt has ended or is being cancelled
     */
    public boolean responseStarted(long requestId, int attempt) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedRequest.Attempt started = request == null ? null : request.inFlight(attempt);
        if (started == null || started.cancelled || request.completed) {
            return false;
        }
        request.streaming = started;
        deadlines.cancel(started.deadline);
        addEvent(new SchedulerEvent.ResponseStarted(requestId, attempt));
        return true;
    }

    /** An engine reports on an attempt; of one that has ended or is being cancelled it is ignored. */
    public void attemptProgressed(long requestId, int attempt, ProgressKind kind, double amount) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedRequest.Attempt running = request == null ? null : request.inFlight(attempt);
        if (running != null && !running.cancelled) {
            addEvent(new SchedulerEvent.AttemptProgress(requestId, attempt, kind, amount));
        }
    }

    /** An engine has answered a health check; late and unsolicited answers are ignored. */
    public void healthCheckCompleted(double nowMs, String engine, AttemptOutcome outcome, double[] report) {
        Long number = engines.existingNumber(engine);
        if (number != null) {
            healthChecks.complete(nowMs, number, outcome, report);
        }
    }

    /** Another front end of the tier has sent gossip. */
    public void gossipReceived(int sender, byte[] payload) {
        addEvent(new SchedulerEvent.GossipReceived(sender, payload));
    }

    /** Takes in the list of engines: a full snapshot, or what has changed. */
    public void endpointsChanged(boolean fullSnapshot, List<EngineEndpoint> endpoints) {
        List<Endpoint> numbered = endpoints.stream()
                .map(endpoint -> endpoint.toEndpoint(engines.numberOf(endpoint.id())))
                .toList();
        addEvent(new SchedulerEvent.EndpointsChanged(fullSnapshot, numbered));
        engines.update(fullSnapshot, endpoints);
    }

    /** Returns whether that engine is listed or under maintenance. */
    public boolean isKnown(String engine) {
        return engines.isKnown(engine);
    }

    /** An operator takes an engine out, whatever the list says, or releases it. */
    public void setMaintenance(String engine, boolean under, double sinceMs) {
        addEvent(new SchedulerEvent.MaintenanceChanged(engines.numberOf(engine), under, sinceMs));
        engines.setMaintenance(engine, under);
    }

    /** The ratio of this front end's work that falls to this process from now on. */
    public void setQuota(double ratio) {
        addEvent(new SchedulerEvent.QuotaChanged(ratio));
    }

    /** Returns the number of listed engines. */
    public int listedEngines() {
        return engines.listedCount();
    }

    /** Returns the number of listed engines that the scheduler sends nothing to now. */
    public int excludedEngines() {
        return scheduler.excludedEngines();
    }

    /** Returns the number of requests that are still owed an answer. */
    public int openRequests() {
        return openRequests;
    }

    /** Returns whether something has come in since the last tick. */
    public boolean hasPendingEvents() {
        return !events.isEmpty();
    }

    /**
     * Runs what is due, lets the scheduler decide on all that came in, and hands out its commands in order.
     */
    public List<Command<X>> tick(double nowMs) {
        deadlines.runDue(nowMs);
        if (!events.isEmpty()) {
            List<SchedulerEvent> batch = events;
            events = new ArrayList<>();
            List<SchedulerAction> actions = scheduler.decide(nowMs, batch);
            executor.execute(actions, nowMs);
        }
        List<Command<X>> due = commands;
        commands = new ArrayList<>();
        return due;
    }

    TrackedRequest<X> request(long requestId) {
        return requests.get(requestId);
    }

    EngineNumbers engines() {
        return engines;
    }

    HealthChecks healthChecks() {
        return healthChecks;
    }

    DeadlineQueue deadlines() {
        return deadlines;
    }

    Tracer<X> tracer() {
        return tracer;
    }

    void addEvent(SchedulerEvent event) {
        events.add(event);
    }

    void addCommand(Command<X> command) {
        commands.add(command);
    }

    /** The request has its final answer, or needs none. */
    void complete(TrackedRequest<X> request, Tracer.Ending ending) {
        request.completed = true;
        openRequests--;
        tracer.requestEnded(request.exchange, ending);
    }

    /** Frees the request's slot once nothing of it is in flight. */
    void releaseIfDone(TrackedRequest<X> request) {
        if (request.isReleasable()) {
            requests.release(request.id);
        }
    }
}
