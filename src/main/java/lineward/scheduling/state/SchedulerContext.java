package lineward.scheduling.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import lineward.scheduling.Endpoint;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.estimation.FleetServiceTimes;

/**
 * The state shared by the policies of one scheduler: settings, engines, requests and classes, the time of the
 * current decision and the actions emitted in it. Engines are iterated by id and requests in order of
 * admission, so that decisions are reproducible for a given seed.
 */
public final class SchedulerContext {
    private static final double MIN_LOG_INTERVAL_MS = 1_000;

    private final SchedulerSettings settings;
    private final SplittableRandom random;
    private final TreeMap<Long, Engine> engines = new TreeMap<>();
    private final Collection<Engine> enginesView = Collections.unmodifiableCollection(engines.values());
    private final Map<Long, ScheduledRequest> requests = new LinkedHashMap<>();
    private final List<RequestClassState> classes;
    private final FleetServiceTimes serviceTimes = new FleetServiceTimes();
    private final FleetDemand demand = new FleetDemand();

    private List<SchedulerAction> actions = new ArrayList<>();
    private double nowMs;
    private OptionalDouble startedMs = OptionalDouble.empty();
    private OptionalDouble lastLogMs = OptionalDouble.empty();

    /**
     * Creates the state of a scheduler without engines and requests.
     *
     * @param seed seed of the random number generator
     */
    public SchedulerContext(SchedulerSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.classes = settings.classes().stream()
                .map(requestClass -> new RequestClassState(requestClass, serviceTimes))
                .toList();
    }

    /** Starts a decision at the given time. */
    public void beginDecision(double now) {
        nowMs = now;
        if (startedMs.isEmpty()) {
            startedMs = OptionalDouble.of(now);
        }
        actions = new ArrayList<>();
    }

    /** Returns the actions of the decision, in the order in which they were emitted. */
    public List<SchedulerAction> endDecision() {
        return actions;
    }

    /** Returns the time of the current decision. */
    public double nowMs() {
        return nowMs;
    }

    /** Returns the time of the first decision, or the current time if there was none. */
    public double startedMs() {
        return startedMs.orElse(nowMs);
    }

    /** Returns the settings. */
    public SchedulerSettings settings() {
        return settings;
    }

    /** Returns a random number in [0, 1). */
    public double drawRandom() {
        return random.nextDouble();
    }

    /** Adds an action to the current decision. */
    public void emit(SchedulerAction action) {
        actions.add(action);
    }

    /** Emits a log message, or drops it if another one was emitted less than a second ago. */
    public void logLimited(String text) {
        if (lastLogMs.isEmpty() || nowMs - lastLogMs.getAsDouble() >= MIN_LOG_INTERVAL_MS) {
            lastLogMs = OptionalDouble.of(nowMs);
            emit(new SchedulerAction.LogMessage(text));
        }
    }

    /** Returns the classes in the order of the settings. */
    public List<RequestClassState> classes() {
        return classes;
    }

    /** Returns the class with the given index; an index past the end selects the last class. */
    public RequestClassState requestClass(int index) {
        return classes.get(Math.min(index, classes.size() - 1));
    }

    /** Returns the run time statistics over all classes. */
    public FleetServiceTimes serviceTimes() {
        return serviceTimes;
    }

    /** Returns the demand on the fleet. */
    public FleetDemand demand() {
        return demand;
    }

    /** Returns all known engines by id, including engines that are gone but not yet removed. */
    public Collection<Engine> engines() {
        return enginesView;
    }

    /** Returns the engine with the given id; null if it is unknown. */
    public Engine findEngine(long id) {
        return engines.get(id);
    }

    /** Returns the engine with the given id, and creates it if it is unknown. */
    public Engine getOrCreateEngine(long id) {
        double slowStartWindowMs = settings.rules().slowStart().windowMs();
        return engines.computeIfAbsent(id, number -> new Engine(number, slowStartWindowMs));
    }

    /** Marks all engines as gone, before a full snapshot updates those that it lists. */
    public void markAllEnginesGone() {
        engines.values().forEach(Engine::markGone);
    }

    /** Applies an endpoint to its engine, and returns whether the engine's process was restarted. */
    public boolean updateEngine(Endpoint endpoint) {
        return getOrCreateEngine(endpoint.engine()).update(endpoint, settings.kindOf(endpoint));
    }

    /** Removes the engines that match the predicate. */
    public void removeEngines(Predicate<Engine> predicate) {
        engines.values().removeIf(predicate);
    }

    /** Recounts the cores of the ready engines after a change in listing or maintenance. */
    public void countReadyCores() {
        demand.countReadyCores(engines.values());
    }

    /** Recomputes the demand of all classes relative to the ready engines. */
    public void recomputeDemand() {
        demand.recompute(classes, engines.values());
    }

    /** Returns whether there are no requests; completed ones count while an attempt is in flight. */
    public boolean hasNoRequests() {
        return requests.isEmpty();
    }

    /** Returns the request with the given id; null if there is none. */
    public ScheduledRequest findRequest(long id) {
        return requests.get(id);
    }

    /**
     * Adds a request that has just been admitted.
     *
     * @param exemptFromTimeout whether the speculative timeout does not apply to its attempts
     */
    public ScheduledRequest addRequest(SchedulerEvent.RequestArrived arrival, boolean exemptFromTimeout) {
        RequestClassState requestClass = requestClass(arrival.requestClass());
        ScheduledRequest request = new ScheduledRequest(arrival, requestClass, exemptFromTimeout, nowMs);
        requests.put(request.id(), request);
        return request;
    }

    /** Removes a request that is complete and has no attempt in flight. */
    public void removeRequest(ScheduledRequest request) {
        requests.remove(request.id());
    }

    /** Returns the attempt if it is known and has not ended; else null. */
    public Attempt findAttemptInFlight(long requestId, int attemptIndex) {
        ScheduledRequest request = requests.get(requestId);
        if (request == null || attemptIndex >= request.attempts().size()) {
            return null;
        }
        Attempt found = request.attempts().get(attemptIndex);
        return found.state() == AttemptState.ENDED ? null : found;
    }
}
