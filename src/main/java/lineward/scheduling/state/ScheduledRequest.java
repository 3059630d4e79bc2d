package lineward.scheduling.state;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.Idempotence;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerEvent;

/** One admitted request: its estimates, its lifecycle and its attempts. Times are in milliseconds. */
public final class ScheduledRequest {
    /** Run time assumed without an estimate, as a fraction of the latency objective. */
    private static final double DEFAULT_RUN_TIME_RATIO = 0.3;

    private static final long NO_KEY = 0;

    private final long id;
    private final long key;
    private final int tableGroup;
    private final RequestClassState requestClass;
    private final double admittedAtMs;
    private final double deadlineMs;
    private final double objectiveEndMs;
    private final double referenceRunMs;
    private final double estimatedWorkMs;
    private final double estimatedMemoryMb;
    private final boolean exemptFromSpeculativeTimeout;

    private final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private final Set<Engine> triedEngines = new HashSet<>();

    private RequestState state = RequestState.QUEUED;
    private int inFlightCount;
    /** Stays set across retries, because the client has already received a part of a response. */
    private boolean responseStarted;

    private boolean relaunched;
    /** The first attempt that may have run and did not succeed; null if there is none. */
    private Attempt firstUnsuccessfulRun;

    private int errorCount;
    /** Null before the first error. */
    private Engine firstErrorEngine;

    /**
     * Creates a queued request.
     *
     * @param exemptFromSpeculativeTimeout whether the speculative timeout does not apply to its attempts
     */
    ScheduledRequest(
            SchedulerEvent.RequestArrived arrival,
            RequestClassState requestClass,
            boolean exemptFromSpeculativeTimeout,
            double nowMs) {
        this.id = arrival.requestId();
        this.key = arrival.key();
        this.tableGroup = arrival.tableGroup();
        this.requestClass = requestClass;
        this.exemptFromSpeculativeTimeout = exemptFromSpeculativeTimeout;
        this.admittedAtMs = nowMs;
        this.deadlineMs = nowMs + arrival.timeLeftMs();
        this.estimatedWorkMs = arrival.estimatedWorkMs();
        this.estimatedMemoryMb = arrival.estimatedMemoryMb();
        RequestClass.Objective objective = requestClass.settings().objective();
        double estimateMs = hasWorkEstimate()
                ? estimatedWorkMs * requestClass.serviceTimeModel().workCorrection() / threads()
                : objective.latencyMs() * DEFAULT_RUN_TIME_RATIO;
        this.referenceRunMs = Math.max(1, estimateMs);
        double runMs = hasWorkEstimate()
                ? referenceRunMs
                : referenceRunMs * requestClass.serviceTimeModel().typicalRatio();
        double objectiveMs = nowMs + objective.latencyMs() + objective.latencyPerRunTime() * runMs;
        this.objectiveEndMs = Math.min(deadlineMs, objectiveMs);
    }

    /** Returns the id of the request, unique among the requests that the scheduler holds. */
    public long id() {
        return id;
    }

    /** Returns the idempotency or ordering key; 0 if there is none. */
    public long key() {
        return key;
    }

    /** Returns the number of the table group that the request uses. */
    public int tableGroup() {
        return tableGroup;
    }

    /** Returns the class of the request. */
    public RequestClassState requestClass() {
        return requestClass;
    }

    /** Returns when the request was admitted. */
    public double admittedAtMs() {
        return admittedAtMs;
    }

    /** Returns the deadline, at which the client stops waiting. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** Returns the end of the latency objective, after which an answer is late. */
    public double objectiveEndMs() {
        return objectiveEndMs;
    }

    /**
     * Returns the reference run time: the corrected estimate, or a default if the request has no estimate.
     * Measured run times are compared with it.
     */
    public double referenceRunMs() {
        return referenceRunMs;
    }

    /** Returns the uncorrected estimate of the work. Requires {@link #hasWorkEstimate()}. */
    public double estimatedWorkMs() {
        return estimatedWorkMs;
    }

    /** Returns whether the request arrived with an estimate of its work. */
    public boolean hasWorkEstimate() {
        return estimatedWorkMs > 0;
    }

    /** Returns the uncorrected estimate of the memory, in megabytes; 0 if there is none. */
    public double estimatedMemoryMb() {
        return estimatedMemoryMb;
    }

    /**
     * Returns whether the speculative timeout does not apply to the request. A fraction of the requests is
     * exempt, so that runs beyond the timeout are still measured and the survival curve keeps its tail.
     */
    public boolean isExemptFromSpeculativeTimeout() {
        return exemptFromSpeculativeTimeout;
    }

    /** Returns the expected run time at typical speed, without the current slowdown of the class. */
    public double expectedRunMs() {
        return referenceRunMs * requestClass.serviceTimeModel().typicalRatio();
    }

    /** Returns the expected work, summed over all threads. */
    public double expectedWorkMs() {
        return (hasWorkEstimate() ? referenceRunMs : expectedRunMs()) * threads();
    }

    /** Returns the number of threads that an attempt runs on. */
    public int threads() {
        return requestClass.settings().executionProfile().threads();
    }

    /** Returns whether the request may run any number of times. */
    public boolean isIdempotent() {
        return requestClass.settings().repeatability().idempotence() == Idempotence.IDEMPOTENT;
    }

    /** Returns whether engines deduplicate repeated runs by the idempotency key. */
    public boolean isIdempotentByKey() {
        return requestClass.settings().repeatability().idempotence() == Idempotence.BY_KEY;
    }

    /** Returns whether the request must run in order of arrival among the requests with its key. */
    public boolean isOrdered() {
        return key != NO_KEY && requestClass.settings().repeatability().inOrder();
    }

    /** Returns the lifecycle state of the request. */
    public RequestState state() {
        return state;
    }

    /** Returns all attempts of the request, including the ended ones. */
    public List<Attempt> attempts() {
        return attemptsView;
    }

    /** Returns whether an attempt is in flight. */
    public boolean hasAttemptInFlight() {
        return inFlightCount > 0;
    }

    /** Returns whether the request was requeued after an attempt on that engine. */
    public boolean hasTried(Engine engine) {
        return triedEngines.contains(engine);
    }

    /** Returns the number of engines that the request has tried. */
    public int triedEngineCount() {
        return triedEngines.size();
    }

    /**
     * Returns whether an attempt other than a recovery probe was cancelled as slow or on an ejected engine,
     * which makes later attempts relaunches.
     */
    public boolean isRelaunched() {
        return relaunched;
    }

    /** Returns the first attempt that may have run and did not succeed; null if there is none. */
    public Attempt firstUnsuccessfulRun() {
        return firstUnsuccessfulRun;
    }

    /** Returns the number of attempts that ended with an error response of an engine. */
    public int errorCount() {
        return errorCount;
    }

    /** Returns the engine of the first error; null if there was none. */
    public Engine firstErrorEngine() {
        return firstErrorEngine;
    }

    /** Records the start of an attempt. */
    public void startAttempt(Attempt attempt) {
        attempts.add(attempt);
        inFlightCount++;
        state = state.attemptStarted(responseStarted);
    }

    /** Records the end of an attempt. */
    public void endAttempt(Attempt attempt, AttemptOutcome outcome) {
        inFlightCount--;
        boolean mayHaveRun = outcome.mayHaveRun() && outcome != AttemptOutcome.OK;
        if (mayHaveRun && firstUnsuccessfulRun == null) {
            firstUnsuccessfulRun = attempt;
        }
    }

    /** Records that the client has received the first part of a response. */
    public void startResponse() {
        responseStarted = true;
        state = state.responseStarted();
    }

    /** Records an error response of an engine. */
    public void recordError(Engine engine) {
        errorCount++;
        if (firstErrorEngine == null) {
            firstErrorEngine = engine;
        }
    }

    /** Queues the request for another attempt after the given one has ended. */
    public void requeue(Attempt ended) {
        relaunched |= ended.isCancelledForRelaunch();
        triedEngines.add(ended.engine());
        state = state.requeued();
    }

    /** Records that the request has its final answer or that its client has gone. */
    public void complete() {
        state = state.completed();
    }
}
