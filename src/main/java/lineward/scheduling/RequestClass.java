package lineward.scheduling;

import static lineward.scheduling.InvalidSettingException.require;
import static lineward.scheduling.InvalidSettingException.requireNotNegative;
import static lineward.scheduling.InvalidSettingException.requireRatio;

import java.util.List;

/** A class of requests, as configured in the settings. */
public record RequestClass(
        Objective objective,
        Repeatability repeatability,
        Placement placement,
        ExecutionProfile executionProfile /* how it runs there */) {

    /**
     * The latency objective of requests, their deadline, and the value of an answer.
     *
     * @param latencyMs constant part of the objective
     * @param latencyPerRunTime part of the objective for each millisecond of the request's run time
     * @param deadlineMs how long a client waits for the answer
     * @param priorityWeight value of an answer within the objective
     * @param overdueValueRatio fraction of that value that a late answer still has
     */
    public record Objective(
            double latencyMs,
            double latencyPerRunTime,
            double deadlineMs,
            double priorityWeight,
            double overdueValueRatio /* 0 to 1 */) {
        /** Validates the ranges. */
        public Objective {
            requireNotNegative("classes: aim", latencyMs);
            requireNotNegative("classes: aim stretch", latencyPerRunTime);
            require(deadlineMs > 0, "classes: deadline", deadlineMs, "more than 0");
            requireNotNegative("classes: worth", priorityWeight);
            requireRatio("classes: late share", overdueValueRatio);
        }
    }

    /**
     * Whether, where and for how long a request may run again.
     *
     * @param scope the engines that recognise an idempotency key after the first one has received it
     * @param keyTtlMs how long they recognise the key
     * @param inOrder whether requests with the same key run one after another, in order of arrival
     */
    public record Repeatability(
            Idempotence idempotence,
            DeduplicationScope scope,
            double keyTtlMs /* 0: none */,
            boolean inOrder /* of a key */) {
        /** Validates the ranges. */
        public Repeatability {
            require(idempotence != null, "classes: effect", idempotence, "a known value");
            require(scope != null, "classes: scope", scope, "a known value");
            requireNotNegative("classes: key time", keyTtlMs);
        }

        /** Returns whether a repeat is harmless on any engine, for a limited time at least. */
        public boolean isRepeatableAnywhere() {
            return idempotence == Idempotence.IDEMPOTENT
                    || (idempotence == Idempotence.BY_KEY && scope == DeduplicationScope.ALL);
        }
    }

    /**
     * The engines that a request may run on; null stands for no restriction.
     *
     * @param kinds indices of the allowed engine kinds
     * @param zones indices of the allowed zones
     */
    public record Placement(List<Integer> kinds, List<Integer> zones) {
        /** A placement without restrictions. */
        public static final Placement ANYWHERE = new Placement(null, null);

        /** Returns whether a request may run on the engine. */
        public boolean allows(Endpoint endpoint) {
            return (kinds == null || kinds.contains(endpoint.kind()))
                    && (zones == null || zones.contains(endpoint.zone()));
        }
    }

    /**
     * How a request runs on an engine.
     *
     * @param loadsTableGroup whether the request loads a table group, which it locks while it runs
     * @param waitsForLoads whether the request waits while its table group is being loaded
     * @param threads number of threads that the request runs on
     */
    public record ExecutionProfile(boolean loadsTableGroup, boolean waitsForLoads, int threads) {
        /** Validates the ranges. */
        public ExecutionProfile {
            require(threads >= 1, "classes: threads", threads, "1 or more");
        }

        /** Returns whether one delays the other on an engine if both use the same table group. */
        public boolean conflictsWith(ExecutionProfile other) {
            return (loadsTableGroup && (other.waitsForLoads || other.loadsTableGroup))
                    || (other.loadsTableGroup && waitsForLoads);
        }
    }
}
