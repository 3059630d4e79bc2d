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
 * Drives the scheduler of one pool of engines. It collects events until the next tick, passes them to the
 * scheduler as a batch, and returns the resulting commands. It does not depend on the protocol and has no
 * clock of its own: callers pass a monotonic time in milliseconds. All methods must be called on the event
 * loop.
 *
 * @param <X> the protocol's representation of a request
 */
public final class Coordinator<X> {
    private static final double[] MISSING_LOAD_REPORT = new double[0];

    private final Scheduler scheduler;
    private final Tracer<X> tracer;
    private final GenerationalTable<TrackedRequest<X>> requests;
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final EngineRegistry engines = new EngineRegistry();
    private final HealthChecks healthChecks = new HealthChecks(deadlines, this::addEvent);
    private final ActionExecutor<X> executor;
    private List<SchedulerEvent> events = new ArrayList<>();
    private List<Command<X>> commands = new ArrayList<>();
    private int openRequestCount;
    private OptionalDouble shutdownDeadlineMs = OptionalDouble.empty();

    /**
     * Creates a coordinator without engines.
     *
     * @param scheduler scheduler used by this coordinator only
     * @param capacity maximum number of requests in the request table; further requests are rejected
     * @param cancelTimeoutMs time after which a cancelled attempt counts as ended if the forwarder has not
     *     reported its end; a relaunch of the request waits until then
     * @param tracer receives the progress and end of requests and attempts
     */
    public Coordinator(Scheduler scheduler, int capacity, double cancelTimeoutMs, Tracer<X> tracer) {
        this.scheduler = scheduler;
        this.requests = new GenerationalTable<>(capacity);
        this.tracer = tracer;
        this.executor = new ActionExecutor<>(this, cancelTimeoutMs);
    }

    /**
     * Admits a request.
     *
     * @return the request's id, or {@link GenerationalTable#FULL} if the request table is full; the caller
     *     must then reject the request
     */
    public long admit(double nowMs, RequestAttributes attributes, X protocolRequest) {
        double timeLeftMs = boundedTimeLeftMs(attributes, nowMs);
        TrackedRequest<X> request = new TrackedRequest<>(protocolRequest, nowMs + timeLeftMs);
        long id = requests.add(request);
        if (id != GenerationalTable.FULL) {
            request.setId(id);
            openRequestCount++;
            tracer.requestAdmitted(protocolRequest);
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
     * Limits the deadline of requests that are admitted from now on. The scheduler rejects a request that
     * cannot complete by then, so that its client can retry at another front end.
     */
    public void setShutdownDeadline(double atMs) {
        shutdownDeadlineMs = OptionalDouble.of(atMs);
    }

    /** Cancels a request whose client no longer needs the answer. Does nothing if it is completed. */
    public void cancelRequest(long requestId) {
        TrackedRequest<X> request = requests.get(requestId);
        if (request != null) {
            cancel(request, Tracer.Ending.CANCELLED);
        }
    }

    /** Completes the request and has its attempts cancelled; returns false if it was already completed. */
    private boolean cancel(TrackedRequest<X> request, Tracer.Ending ending) {
        if (!complete(request, ending)) {
            return false;
        }
        addEvent(new SchedulerEvent.RequestCancelled(request.id()));
        releaseIfDone(request);
        return true;
    }

    /** Fails all open requests, has their attempts cancelled, and tells their clients. */
    public void failOpenRequests() {
        requests.forEach(request -> {
            if (cancel(request, Tracer.Ending.FAILED)) {
                commands.add(new Command.Fail<>(request.protocolRequest()));
            }
        });
    }

    /**
     * Records the end of an attempt. Does nothing if the attempt is unknown or has already ended.
     *
     * @return whether the caller must now send the attempt's result to the client; true at most once per
     *     request
     */
    public boolean attemptEnded(long requestId, int attemptNumber, AttemptOutcome outcome) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedAttempt attempt = request == null ? null : request.attemptInFlight(attemptNumber);
        if (attempt == null) {
            return false;
        }
        request.endAttempt(attempt);
        deadlines.cancel(attempt.deadline());
        tracer.attemptEnded(request.protocolRequest(), attemptNumber, outcome);
        boolean served = outcome == AttemptOutcome.OK && complete(request, Tracer.Ending.SERVED);
        if (!served && request.isResponding(attempt)) {
            complete(request, Tracer.Ending.FAILED);
        }
        boolean completed = request.isCompleted();
        addEvent(new SchedulerEvent.AttemptEnded(
                requestId, attemptNumber, outcome, completed, 0, 0, MISSING_LOAD_REPORT));
        releaseIfDone(request);
        return served;
    }

    /**
     * Records that an attempt starts to send its response to the client. From then on the attempt has no
     * timeout, and the request fails if the attempt fails.
     *
     * @return false if the response must not be sent, because the request is completed, or the attempt has
     *     ended or is being cancelled
     */
    public boolean responseStarted(long requestId, int attemptNumber) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedAttempt attempt = request == null ? null : request.attemptInFlight(attemptNumber);
        if (attempt == null || !attempt.isRunning() || request.isCompleted()) {
            return false;
        }
        request.startResponse(attempt);
        deadlines.cancel(attempt.deadline());
        addEvent(new SchedulerEvent.ResponseStarted(requestId, attemptNumber));
        return true;
    }

    /** Records an engine's progress report. Does nothing if the attempt has ended or was cancelled. */
    public void attemptProgressed(long requestId, int attemptNumber, ProgressKind kind, double amount) {
        TrackedRequest<X> request = requests.get(requestId);
        TrackedAttempt attempt = request == null ? null : request.attemptInFlight(attemptNumber);
        if (attempt != null && attempt.isRunning()) {
            addEvent(new SchedulerEvent.AttemptProgress(requestId, attemptNumber, kind, amount));
        }
    }

    /** Records the result of a health check. Late and unsolicited results are ignored. */
    public void healthCheckCompleted(
            double nowMs, String engineId, long checkNumber, AttemptOutcome outcome, double[] report) {
        OptionalLong engineNumber = engines.findNumber(engineId);
        if (engineNumber.isPresent()) {
            healthChecks.complete(nowMs, engineNumber.getAsLong(), checkNumber, outcome, report);
        }
    }

    /** Records a gossip message from another front end of the tier. */
    public void gossipReceived(int sender, byte[] payload) {
        addEvent(new SchedulerEvent.GossipReceived(sender, payload));
    }

    /**
     * Applies an update of the endpoint list.
     *
     * @param fullSnapshot whether the list is complete, so that engines missing from it are removed
     */
    public void endpointsChanged(boolean fullSnapshot, List<EngineEndpoint> endpoints) {
        List<Endpoint> schedulerEndpoints = endpoints.stream()
                .map(endpoint -> endpoint.toEndpoint(engines.findOrAssignNumber(endpoint.id())))
                .toList();
        addEvent(new SchedulerEvent.EndpointsChanged(fullSnapshot, schedulerEndpoints));
        engines.update(fullSnapshot, endpoints);
    }

    /** Returns whether the engine is listed or under maintenance. */
    public boolean hasEngine(String engineId) {
        return engines.hasEngine(engineId);
    }

    /**
     * Starts or ends the maintenance of an engine, independently of the endpoint list.
     *
     * @param sinceMs when the operator requested the change, in Unix milliseconds
     */
    public void setMaintenance(String engineId, boolean underMaintenance, double sinceMs) {
        long engineNumber = engines.findOrAssignNumber(engineId);
        addEvent(new SchedulerEvent.MaintenanceChanged(engineNumber, underMaintenance, sinceMs));
        engines.setMaintenance(engineId, underMaintenance);
    }

    /**
     * Sets the fraction of this front end's quota that this process may use from now on. Below 1 while
     * another process of the same front end serves requests during a hot restart.
     */
    public void setQuota(double ratio) {
        addEvent(new SchedulerEvent.QuotaChanged(ratio));
    }

    /** Returns the number of listed engines. */
    public int listedEngineCount() {
        return engines.listedCount();
    }

    /** Returns the number of listed engines that are ejected or under maintenance. */
    public int excludedEngineCount() {
        return scheduler.excludedEngineCount();
    }

    /** Returns the number of admitted requests that are not completed. */
    public int openRequestCount() {
        return openRequestCount;
    }

    /** Returns whether events are waiting for the next tick. */
    public boolean hasPendingEvents() {
        return !events.isEmpty();
    }

    /**
     * Runs the tasks of expired deadlines, passes the collected events to the scheduler, and returns the
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
        List<Command<X>> issuedCommands = commands;
        commands = new ArrayList<>();
        return issuedCommands;
    }

    TrackedRequest<X> request(long requestId) {
        return requests.get(requestId);
    }

    EngineRegistry engines() {
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

    /** Completes the request; returns false if it was already completed. */
    boolean complete(TrackedRequest<X> request, Tracer.Ending ending) {
        if (!request.complete()) {
            return false;
        }
        openRequestCount--;
        tracer.requestEnded(request.protocolRequest(), ending);
        return true;
    }

    /** Releases the table slot of the request if it is completed and none of its attempts is in flight. */
    void releaseIfDone(TrackedRequest<X> request) {
        if (request.isReleasable()) {
            requests.release(request.id());
        }
    }
}
