package lineward.core;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.Endpoint;
import lineward.scheduling.ProgressKind;
import lineward.scheduling.Scheduler;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;

/**
 * Drives the scheduler of one pool of engines. It batches events until the next tick and returns the
 * scheduler's actions as commands. It is independent of the protocol, and has no clock: callers pass the
 * time in milliseconds, which never goes back. All methods are called on the event loop.
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
    private OptionalDouble shutdownDeadlineMs = OptionalDouble.empty();

    /**
     * Creates a coordinator without engines.
     *
     * @param scheduler serves this pool only
     * @param capacity maximum of requests in the table; further requests are rejected
     * @param cancelDurationMs longest time from a cancel to the end of the attempt; a relaunch waits for it
     * @param tracer is notified of the progress and end of requests and attempts
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
     * @return the request's id, or {@link GenerationalTable#FULL} if the table is full and the caller must
     *     reject the request
     */
    public long admit(double nowMs, RequestAttributes attributes, X exchange) {
        double timeLeftMs = boundedTimeLeftMs(attributes, nowMs);
        TrackedRequest<X> request = new TrackedRequest<>(exchange, nowMs + timeLeftMs);
        long id = requests.add(request);
        if (id != GenerationalTable.FULL) {
            request.setId(id);
            openRequests++;
            tracer.requestAdmitted(exchange);
            addEvent(attributes.toEvent(id, timeLeftMs));
        }
        return id;
    }

    private double boundedTimeLeftMs(RequestAttributes attributes, double nowMs) {
        double timeLeftMs = attributes.timeLeftMs();
        return shutdownDeadlineMs.isPresent()
                ? Math.min(timeLeftMs, shutdownDeadlineMs.getAsDouble() - nowMs)
                : timeLeftMs;
    }

    /**
     * Bounds the time of requests that are admitted from now on. The scheduler rejects a request that cannot
     * complete by then, so that its client retries at another front end.
     */
    public void setShutdownDeadline(double atMs) {
        shutdownDeadlineMs = OptionalDouble.of(atMs);
    }

    /** Cancels a request whose client has disconnected. A completed request is ignored. */
    public void cancelRequest(long requestId) {
        TrackedRequest<X> request = requests.get(requestId);
        if (request != null) {
            cancel(request, Tracer.Ending.CANCELLED);
        }
    }

    /** Completes the request and cancels its attempts; returns false where it was completed before. */
    private boolean cancel(TrackedRequest<X> request, Tracer.Ending ending) {
        if (!complete(request, ending)) {
            return false;
        }
        addEvent(new SchedulerEvent.RequestCancelled(request.id()));
        releaseIfDone(request);
        return true;
    }

    /** Answers all open requests as failed. */
    public void failOpenRequests() {
        requests.forEach(request -> {
            if (cancel(request, Tracer.Ending.FAILED)) {
                commands.add(new Command.Fail<>(request.exchange()));
            }
        });
    }

    /**
     * Records the end of an attempt. An attempt that has ended before, or an unknown one, is ignored.
     *
     * @return whether the caller must now send the attempt's result to the client; true at most once for a
     *     request
     */
    public boolean attemptEnded(long requestId, int attempt, AttemptOutcome outcome) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedAttempt ended = request == null ? null : request.attemptInFlight(attempt);
        if (ended == null) {
            return false;
        }
        request.endAttempt(ended);
        deadlines.cancel(ended.deadline());
        tracer.attemptEnded(request.exchange(), attempt, outcome);
        boolean served = outcome == AttemptOutcome.OK && complete(request, Tracer.Ending.SERVED);
        if (!served && request.isResponding(ended)) {
            complete(request, Tracer.Ending.FAILED);
        }
        boolean completed = request.isCompleted();
        addEvent(new SchedulerEvent.AttemptEnded(requestId, attempt, outcome, completed, 0, 0, NO_REPORT));
        releaseIfDone(request);
        return served;
    }

    /**
     * Records that an attempt's response has begun to reach the client. The attempt has no timeout from now
     * on, and the request fails if the attempt does.
     *
     * @return false if the request is completed, or the attempt has ended or is being cancelled
     */
    public boolean responseStarted(long requestId, int attempt) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedAttempt started = request == null ? null : request.attemptInFlight(attempt);
        if (started == null || !started.isRunning() || request.isCompleted()) {
            return false;
        }
        request.startResponse(started);
        deadlines.cancel(started.deadline());
        addEvent(new SchedulerEvent.ResponseStarted(requestId, attempt));
        return true;
    }

    /** Records an engine's progress report. It is ignored if the attempt has ended or was cancelled. */
    public void attemptProgressed(long requestId, int attempt, ProgressKind kind, double amount) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedAttempt reported = request == null ? null : request.attemptInFlight(attempt);
        if (reported != null && reported.isRunning()) {
            addEvent(new SchedulerEvent.AttemptProgress(requestId, attempt, kind, amount));
        }
    }

    /** Records an engine's answer to a health check. Late and unsolicited answers are ignored. */
    public void healthCheckCompleted(double nowMs, String engine, AttemptOutcome outcome, double[] report) {
        OptionalLong number = engines.existingNumber(engine);
        if (number.isPresent()) {
            healthChecks.complete(nowMs, number.getAsLong(), outcome, report);
        }
    }

    /** Records gossip of another front end of the tier. */
    public void gossipReceived(int sender, byte[] payload) {
        addEvent(new SchedulerEvent.GossipReceived(sender, payload));
    }

    /**
     * Applies an update of the endpoint list.
     *
     * @param fullSnapshot whether engines that are not among the endpoints are gone
     */
    public void endpointsChanged(boolean fullSnapshot, List<EngineEndpoint> endpoints) {
        List<Endpoint> numbered = endpoints.stream()
                .map(endpoint -> endpoint.toEndpoint(engines.numberOf(endpoint.id())))
                .toList();
        addEvent(new SchedulerEvent.EndpointsChanged(fullSnapshot, numbered));
        engines.update(fullSnapshot, endpoints);
    }

    /** Returns whether that engine is listed or under maintenance. */
    public boolean hasEngine(String engine) {
        return engines.hasEngine(engine);
    }

    /**
     * Puts an engine under maintenance, or releases it, independently of the endpoint list.
     *
     * @param sinceMs when the operator gave the order, in Unix milliseconds
     */
    public void setMaintenance(String engine, boolean underMaintenance, double sinceMs) {
        long number = engines.numberOf(engine);
        addEvent(new SchedulerEvent.MaintenanceChanged(number, underMaintenance, sinceMs));
        engines.setMaintenance(engine, underMaintenance);
    }

    /** Sets the ratio of this front end's work that this process does from now on. */
    public void setQuota(double ratio) {
        addEvent(new SchedulerEvent.QuotaChanged(ratio));
    }

    /** Returns the number of listed engines. */
    public int listedEngines() {
        return engines.listedCount();
    }

    /** Returns the number of listed engines that get no attempts at present. */
    public int excludedEngines() {
        return scheduler.excludedEngines();
    }

    /** Returns the number of requests without a final answer. */
    public int openRequests() {
        return openRequests;
    }

    /** Returns whether events wait for the next tick. */
    public boolean hasPendingEvents() {
        return !events.isEmpty();
    }

    /**
     * Runs the deadlines that are due, passes the collected events to the scheduler, and returns the
     * commands in the order in which the forwarder must execute them.
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

    /** Completes the request and returns true; returns false where it was completed before. */
    boolean complete(TrackedRequest<X> request, Tracer.Ending ending) {
        if (!request.complete()) {
            return false;
        }
        openRequests--;
        tracer.requestEnded(request.exchange(), ending);
        return true;
    }

    /** Frees the slot of a completed request once no attempt is in flight. */
    void releaseIfDone(TrackedRequest<X> request) {
        if (request.isReleasable()) {
            requests.release(request.id());
        }
    }
}
