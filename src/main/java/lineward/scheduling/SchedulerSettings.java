package lineward.scheduling;

import static lineward.scheduling.InvalidSettingException.require;
import static lineward.scheduling.InvalidSettingException.requireNotNegative;
import static lineward.scheduling.InvalidSettingException.requireRatio;

import java.util.List;

/** The settings of a scheduler, fixed at its start. */
public record SchedulerSettings(
        List<RequestClass> classes,
        List<EngineKind> kinds,
        FleetPosition position,
        Limits limits,
        Rules rules,
        Reporting reporting,
        Discovery discovery,
        Costs costs,
        Quotas quotas) {

    /** Checks the ranges and the references between the parts. */
    public SchedulerSettings {
        require(!classes.isEmpty(), "classes", "none", "one or more");
        require(!kinds.isEmpty(), "kinds", "none", "one or more");
        for (RequestClass requestClass : classes) {
            RequestClass.Placement placement = requestClass.placement();
            requireWithin("classes: bound to an unknown kind", placement.kinds(), kinds.size());
            requireWithin("classes: bound to an unknown zone", placement.zones(), position.zones());
        }
        classes = List.copyOf(classes);
        kinds = List.copyOf(kinds);
    }

    private static void requireWithin(String key, List<Integer> indices, int size) {
        boolean within = indices == null || indices.stream().allMatch(i -> i >= 0 && i < size);
        require(within, key, indices, "names that the settings list");
    }

    /** Returns what the deployment permits. */
    public Capabilities capabilities() {
        return limits.capabilities();
    }

    /** Returns the bounds on attempts. */
    public AttemptLimits attempts() {
        return limits.attempts();
    }

    /** Returns how engines grant memory. */
    public MemoryLimits memory() {
        return limits.memory();
    }

    /** Returns the kind of a listed engine; an index out of range counts as the last one. */
    public EngineKind kindOf(Endpoint endpoint) {
        return kinds.get(Math.min(endpoint.kind(), kinds.size() - 1));
    }

    /**
     * Where this front end stands in the fleet.
     *
     * @param zones number of zones
     * @param zone index of its own zone
     * @param frontEnds number of front ends, at least 1
     * @param ordinal its own number among them, from 0
     */
    public record FleetPosition(int zones, int zone, int frontEnds, int ordinal) {
        /** Checks the ranges. */
        public FleetPosition {
            require(frontEnds >= 1, "fronts", frontEnds, "1 or more");
        }
    }

    /** What the deployment permits, and the bounds that it sets. */
    public record Limits(Capabilities capabilities, AttemptLimits attempts, MemoryLimits memory) {}

    /**
     * What the deployment permits.
     *
     * @param cancel attempts in flight may be cancelled
     * @param healthChecks engines may be asked for their health
     * @param hedging two attempts of a request may be in flight at once
     * @param retryAfter a rejection may carry advice on when to retry
     * @param grants memory grants are heeded
     * @param priorities priorities are heeded
     * @param gossip front ends may talk to each other
     */
    public record Capabilities(
            boolean cancel,
            boolean healthChecks,
            boolean hedging,
            boolean retryAfter,
            boolean grants,
            boolean priorities,
            boolean gossip) {}

    /**
     * Bounds on attempts.
     *
     * @param maxPerRequest attempts of one request, at least 1
     * @param maxRetryAfterMs longest advice on when to retry
     * @param progressIntervalMs how often engines report progress; 0: never
     */
    public record AttemptLimits(int maxPerRequest, double maxRetryAfterMs, double progressIntervalMs) {
        /** Checks the ranges. */
        public AttemptLimits {
            require(maxPerRequest >= 1, "limits: attempts", maxPerRequest, "1 or more");
            requireNotNegative("limits: longest retry-after", maxRetryAfterMs);
            requireNotNegative("limits: time between notes", progressIntervalMs);
        }
    }

    /**
     * How engines grant memory.
     *
     * @param maxGrantRatio largest fraction of an engine's memory for one request, more than 0 and up to 1
     */
    public record MemoryLimits(double maxGrantRatio, MemoryShortage shortage) {
        /** Checks the ranges. */
        public MemoryLimits {
            boolean inRange = maxGrantRatio > 0 && maxGrantRatio <= 1;
            require(inRange, "limits: most grant", maxGrantRatio, "more than 0, up to 1");
        }
    }

    /**
     * The rules that the platform checks.
     *
     * @param drainGraceMs how long after a drain was announced the engine may still get requests
     * @param settleMs how long a key rests after an indeterminate outcome
     */
    public record Rules(
            double drainGraceMs,
            SlowStartRule slowStart,
            double settleMs /* 0: none */,
            RetryBudget retryBudget /* of all */) {
        /** Checks the ranges. */
        public Rules {
            requireNotNegative("rules: drain grace", drainGraceMs);
            requireNotNegative("rules: settle time", settleMs);
        }
    }

    /**
     * How an engine warms up, and when it falls over meanwhile.
     *
     * @param durationMs how long it warms up
     * @param initialRatio ratio of its capacity that it has at the start
     * @param overloadFactor work sent within the window, as a multiple of its present capacity, that it
     *     survives; 0: any
     * @param windowMs the window
     */
    public record SlowStartRule(
            double durationMs, double initialRatio, double overloadFactor /* 0: any */, double windowMs) {
        /** Checks the ranges. */
        public SlowStartRule {
            requireNotNegative("rules: cold time", durationMs);
            requireRatio("rules: cold share", initialRatio);
            requireNotNegative("rules: overload factor", overloadFactor);
            requireNotNegative("rules: overload window", windowMs);
        }

        /** Returns whether an engine that warms up survives only so much work. */
        public boolean limitsWork() {
            return overloadFactor > 0;
        }
    }

    /**
     * Retries allowed within a window: a base, and a number for each request admitted.
     *
     * @param windowMs the window; 0: retries are not limited
     */
    public record RetryBudget(double windowMs, double base, double perRequest) {
        /** Checks the ranges. */
        public RetryBudget {
            requireNotNegative("rules: attempt budget's window", windowMs);
            requireNotNegative("rules: attempt budget", base);
            requireNotNegative("rules: attempt budget for each request", perRequest);
        }

        /** Returns whether there is a budget at all. */
        public boolean isLimited() {
            return windowMs > 0;
        }
    }

    /**
     * What engines report of their load.
     *
     * @param fields the values of a report, in order; empty: engines report nothing
     * @param inResponses whether reports come with responses
     */
    public record Reporting(List<LoadReportField> fields, boolean inResponses) {
        /** Copies the list. */
        public Reporting {
            fields = List.copyOf(fields);
        }
    }

    /**
     * How endpoints become known.
     *
     * @param subscribe whether the list comes only to subscribers
     * @param pollWithinMs how often to ask; 0: not said
     * @param weightsAreMeaningful whether the weights in the list mean something
     */
    public record Discovery(boolean subscribe, double pollWithinMs, boolean weightsAreMeaningful) {}

    /**
     * What messages cost, in points of the result for one a request.
     *
     * @param healthCheck a health check
     * @param gossip gossip of the largest payload delivered to one front end
     */
    public record Costs(double healthCheck, double gossip) {
        /** Checks the ranges. */
        public Costs {
            requireNotNegative("prices: probe", healthCheck);
            requireNotNegative("prices: peer", gossip);
        }
    }

    /**
     * The tenants' quotas.
     *
     * @param perTenant requests a second within each tenant's quota, over all front ends
     * @param overQuotaValueRatio the ratio of its value that a request beyond its tenant's quota keeps
     */
    public record Quotas(List<Double> perTenant, double overQuotaValueRatio) {
        /** Checks the ranges. */
        public Quotas {
            perTenant = List.copyOf(perTenant);
            perTenant.forEach(quota -> requireNotNegative("tenants: quota", quota));
            requireRatio("over-share worth", overQuotaValueRatio);
        }
    }
}
