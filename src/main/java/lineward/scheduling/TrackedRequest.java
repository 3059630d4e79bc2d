package lineward.scheduling;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** What is recorded of one admitted request, and what it is estimated to take. */
final class TrackedRequest {
    /** Run time where no estimate is given, as a ratio of the latency objective: only a first guess. */
    private static final double DEFAULT_WORK_RATIO = 0.3;

    final long id;
    final long key;
    final int tableGroup;
    final ClassState type;
    final double admittedAtMs;
    final double deadlineMs;
    /** When its answer is wanted. */
    final double objectiveAtMs;
    /** Estimated run time, by which measured run times are divided. */
    final double workUnitMs;

    final double estimatedWorkMs;
    final double estimatedMemoryMb;
    /** Some requests are never cancelled, so that the tail of the curve stays seen. */
    final boolean exemptFromCancellation;

    final List<Attempt> attempts = new ArrayList<>(2);
    /** Engines that had an attempt. */
    final Set<Engine> triedEngines = new HashSet<>();

    int attemptsInFlight;
    boolean relaunched;
    boolean dispatched;
    boolean completed;
    /** The response has begun to reach the client. */
    boolean streaming;
    /** The engine where it may first have run, and when it started there. */
    Engine firstEngineRunOn;

    double firstStartedAtMs;
    double priority;
    int errors;
    Engine firstEngineInError;

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
        RequestClass.Objective objective = type.settings.objective();
        double correction = Math.exp(type.model.workBias.value());
        double estimate = hasWorkEstimate()
                ? estimatedWorkMs * correction / threads()
                : objective.latencyMs() * DEFAULT_WORK_RATIO;
        this.workUnitMs = Math.max(1, estimate);
        double runMs = hasWorkEstimate() ? workUnitMs : workUnitMs * type.model.typicalRatio();
        double objectiveMs = nowMs + objective.latencyMs() + objective.latencyPerWork() * runMs;
        this.objectiveAtMs = Math.min(deadlineMs, objectiveMs);
    }

    boolean hasWorkEstimate() {
        return estimatedWorkMs > 0;
    }

    /** Returns the run time expected on an engine that is not crowded. */
    double expectedRunMs() {
        return workUnitMs * type.model.typicalRatio();
    }

    /** Returns the work expected of all its threads. */
    double expectedWorkMs() {
        return (hasWorkEstimate() ? workUnitMs : expectedRunMs()) * threads();
    }

    int threads() {
        return type.settings.workload().threads();
    }

    boolean isIdempotent() {
        return type.settings.repeatability().idempotence() == Idempotence.IDEMPOTENT;
    }

    boolean isRepeatableByKey() {
        return type.settings.repeatability().idempotence() == Idempotence.BY_KEY;
    }

    /** Returns whether the request has a key whose requests run in order of arrival. */
    boolean isOrdered() {
        return key != 0 && type.settings.repeatability().inOrder();
    }
}
