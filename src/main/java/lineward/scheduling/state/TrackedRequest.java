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

/** One admitted request: its estimates, its lifecycle and its attempts. Times are milliseconds. */
public final class TrackedRequest {
    /** Run time assumed without an estimate, as a ratio of the latency objective. */
    private static final double DEFAULT_WORK_RATIO = 0.3;

    private static final long NO_KEY = 0;

    private final long id;
    private final long key;
    private final int tableGroup;
    private final ClassState type;
    private final double admittedAtMs;
    private final double deadlineMs;
    private final double objectiveAtMs;
    private final double workUnitMs;
    private final double estimatedWorkMs;
    private final double estimatedMemoryMb;
    private final boolean exemptFromCancellation;

    private final List<Attempt> attempts = new ArrayList<>(2);
    private final List<Attempt> attemptsView = Collections.unmodifiableList(attempts);
    private final Set<Engine> triedEngines = new HashSet<>();

    private RequestState state = RequestState.QUEUED;
    private int attemptsInFlight;
    /** Stays set over a retry: the client has a part of the response. */
    private boolean responseStarted;

    private boolean relaunched;
    /** The first attempt that may have run and did not answer; null if there is none. */
    private Attempt firstUnansweredRun;

    private int errors;
    /** Null before the first error. */
    private Engine firstEngineInError;

    /**
     * Creates a request that is queued.
     *
     * @param exempt whether none of its attempts is cancelled because it is slow
     */
    TrackedRequest(SchedulerEvent.RequestArrived arrival, ClassState type, boolean exempt, double nowMs) {
        this.id = arrival.request();
        this.key = arrival.key();
        this.tableGroup = arrival.tableGroup();
        this.type = type;
        this.exemptFromCancellation = exempt;
        this.admittedAtMs = nowMs;
        this.deadlineMs = nowMs + arrival.timeLeftMs();
        this.estimatedWorkMs = arrival.estimatedWorkMs();
        this.estimatedMemoryMb = arrival.estimatedMemoryMb();
        RequestClass.Objective objective = type.settings().objective();
        double estimateMs = hasWorkEstimate()
                ? estimatedWorkMs * type.model().workCorrection() / threads()
                : objective.latencyMs() * DEFAULT_WORK_RATIO;
        this.workUnitMs = Math.max(1, estimateMs);
        double runMs =
                hasWorkEstimate() ? workUnitMs : workUnitMs * type.model().typicalRatio();
        double objectiveMs = nowMs + objective.latencyMs() + objective.latencyPerWork() * runMs;
        this.objectiveAtMs = Math.min(deadlineMs, objectiveMs);
    }

    /** Returns its number, unique among the open requests. */
    public long id() {
        return id;
    }

    /** Returns its idempotency or ordering key. */
    public long key() {
        return key;
    }

    /** Returns the number of the table group that it uses. */
    public int tableGroup() {
        return tableGroup;
    }

    /** Returns its class. */
    public ClassState type() {
        return type;
    }

    /** Returns when it was admitted. */
    public double admittedAtMs() {
        return admittedAtMs;
    }

    /** Returns when its client stops waiting. */
    public double deadlineMs() {
        return deadlineMs;
    }

    /** Returns when its answer becomes late. */
    public double objectiveAtMs() {
        return objectiveAtMs;
    }

    /** Returns its estimated run time, the unit of the run times of its class. */
    public double workUnitMs() {
        return workUnitMs;
    }

    /** Returns the estimate of its work as it came; there must be one. */
    public double estimatedWorkMs() {
        return estimatedWorkMs;
    }

    /** Returns whether an estimate of its work came with it. */
    public boolean hasWorkEstimate() {
        return estimatedWorkMs > 0;
    }

    /** Returns the estimate of its memory; 0 if none came. */
    public double estimatedMemoryMb() {
        return estimatedMemoryMb;
    }

    /** Returns whether its attempts are never cancelled at tau, so that the curve has a tail. */
    public boolean isExemptFromCancellation() {
        return exemptFromCancellation;
    }

    /** Returns the run time expected on an engine that is not crowded. */
    public double expectedRunMs() {
        return workUnitMs * type.model().typicalRatio();
    }

    /** Returns the work expected of all its threads. */
    public double expectedWorkMs() {
        return (hasWorkEstimate() ? workUnitMs : expectedRunMs()) * threads();
    }

    /** Returns the threads that an attempt runs on. */
    public int threads() {
        return type.settings().workload().threads();
    }

    /** Returns whether it may run any number of times. */
    public boolean isIdempotent() {
        return type.settings().repeatability().idempotence() == Idempotence.IDEMPOTENT;
    }

    /** Returns whether engines recognise a repeat by its key. */
    public boolean isRepeatableByKey() {
        return type.settings().repeatability().idempotence() == Idempotence.BY_KEY;
    }

    /** Returns whether it has a key whose requests run in order of arrival. */
    public boolean isOrdered() {
        return key != NO_KEY && type.settings().repeatability().inOrder();
    }

    /** Returns where it is in its lifecycle. */
    public RequestState state() {
        return state;
    }

    /** Returns all its attempts, the ended ones included. */
    public List<Attempt> attempts() {
        return attemptsView;
    }

    /** Returns whether an attempt is in flight. */
    public boolean hasAttemptInFlight() {
        return attemptsInFlight > 0;
    }

    /** Returns whether an attempt was started on that engine and ended without an answer. */
    public boolean hasTried(Engine engine) {
        return triedEngines.contains(engine);
    }

    /** Returns the number of engines that it has tried. */
    public int triedEngineCount() {
        return triedEngines.size();
    }

    /**
     * Returns whether an attempt was cancelled because it was slow, so that later attempts are relaunches.
     */
    public boolean isRelaunched() {
        return relaunched;
    }

    /** Returns the first attempt that may have run and did not answer; null if none may have run. */
    public Attempt firstUnansweredRun() {
        return firstUnansweredRun;
    }

    /** Returns the number of attempts that ended in an error of the engine. */
    public int errors() {
        return errors;
    }

    /** Returns the engine of its first error; null if there was none. */
    public Engine firstEngineInError() {
        return firstEngineInError;
    }

    /** Records that an attempt is started. */
    public void startAttempt(Attempt attempt) {
        attempts.add(attempt);
        attemptsInFlight++;
        state = state.attemptStarted(responseStarted);
    }

    /** Records the end of an attempt that was in flight. */
    public void endAttempt(Attempt attempt, AttemptOutcome outcome) {
        attemptsInFlight--;
        boolean mayHaveRun = outcome.mayHaveRun() && outcome != AttemptOutcome.OK;
        if (mayHaveRun && firstUnansweredRun == null) {
            firstUnansweredRun = attempt;
        }
    }

    /** Records that the response has begun to reach the client. */
    public void startResponse() {
        responseStarted = true;
        state = state.responseStarted();
    }

    /** Records that the engine of an attempt answered with an error. */
    public void recordError(Engine engine) {
        errors++;
        if (firstEngineInError == null) {
            firstEngineInError = engine;
        }
    }

    /** Queues the request for another attempt after one that has ended. */
    public void requeue(Attempt ended) {
        relaunched |= ended.isRelaunchedAfterCancel();
        triedEngines.add(ended.engine());
        state = state.requeued();
    }

    /** Records that it has its final answer, or that its client has gone. */
    public void complete() {
        state = state.completed();
    }
}
