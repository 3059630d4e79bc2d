package lineward.scheduling;

import static lineward.scheduling.InvalidSettingException.require;
import static lineward.scheduling.InvalidSettingException.requireNotNegative;
import static lineward.scheduling.InvalidSettingException.requireRatio;

import java.util.List;

/** One class of requests, as the settings describe it. */
public record RequestClass(
        Objective objective,
        Repeatability repeatability,
        Placement placement,
        Workload workload /* how it runs there */) {

    /**
     * The latency objective of a request and the value of its answer.
     *
     * @param latencyMs constant part of the objective
     * @param latencyPerWork part of the objective for each millisecond of its run time
     * @param deadlineMs how long clients wait
     * @param priorityWeight value of an answer within the objective
     * @param overdueValueRatio fraction of that value of a late answer
     */
    public record Objective(
            double latencyMs,
            double latencyPerWork,
            double deadlineMs,
            double priorityWeight,
            double overdueValueRatio /* 0 to 1 */) {
        /** Checks the ranges. */
        public Objective {
            requireNotNegative("classes: aim", latencyMs);
            requireNotNegative("classes: aim stretch", latencyPerWork);
            require(deadlineMs > 0, "classes: deadline", deadlineMs, "more than 0");
            requireNotNegative("classes: worth", priorityWeight);
            requireRatio("classes: late share", overdueValueRatio);
        }
    }

    /**
     * Whether a request may run again.
     *
     * @param scope which engines recognise an idempotency key
     * @param keyTtlMs how long they do
     * @param inOrder whether requests of one key run one after another, in order of arrival
     */
    public record Repeatability(
            Idempotence idempotence,
            DeduplicationScope scope,
            double keyTtlMs /* 0: none */,
            boolean inOrder /* of a key */) {
        /** Checks the ranges. */
        public Repeatability {
            require(idempotence != null, "classes: effect", idempotence, "a known word");
            require(scope != null, "classes: scope", scope, "a known word");
            requireNotNegative("classes: key time", keyTtlMs);
        }

        /** Returns whether a repeat is harmless at whatever engine, for a time at least. */
        public boolean isRepeatableAnywhere() {
            return idempotence == Idempotence.IDEMPOTENT
                    || (idempotence == Idempotence.BY_KEY && scope == DeduplicationScope.ALL);
        }
    }

    /**
     * Which engines a request may run on; a null list restricts nothing.
     *
     * @param kinds indices of engine kinds
     * @param zones indices of zones
     */
    public record Placement(List<Integer> kinds, List<Integer> zones) {
        /** A placement on any engine. */
        public static final Placement ANYWHERE = new Placement(null, null);

        /** Returns whether a request may run on that engine. */
        public boolean allows(Endpoint endpoint) {
            return (kinds == null || kinds.contains(endpoint.kind()))
                    && (zones == null || zones.contains(endpoint.zone()));
        }
    }

    /**
     * How a request runs on an engine.
     *
     * @param load whether it loads a table group, and holds it meanwhile
     * @param waitsForLoads whether it waits while its table group is loaded
     * @param threads threads that it runs on
     */
    public record Workload(boolean load, boolean waitsForLoads, int threads) {
        /** Checks the ranges. */
        public Workload {
            require(threads >= 1, "classes: threads", threads, "1 or more");
        }

        /** Returns whether the two delay each other on one engine if they use one table group. */
        public boolean conflictsWith(Workload other) {
            return (load && (other.waitsForLoads || other.load)) || (other.load && waitsForLoads);
        }
    }
}
