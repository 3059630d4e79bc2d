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
        LoadReporting loadReporting,
        Discovery discovery,
        MessageCosts messageCosts,
        TenantQuotas tenantQuotas) {

    /** Validates the ranges and the references between the parts. */
    public SchedulerSettings {
        require(!classes.isEmpty(), "classes", "none", "one or more");
        require(!kinds.isEmpty(), "kinds", "none", "one or more");
        for (RequestClass requestClass : classes) {
            RequestClass.Placement placement = requestClass.placement();
            requireWithin("classes: bound to an unknown kind", placement.kinds(), kinds.size());
            requireWithin("classes: bound to an unknown zone", placement.zones(), position.zoneCount());
        }
        classes = List.copyOf(classes);
        kinds = List.copyOf(kinds);
    }

    private static void requireWithin(String key, List<Integer> indices, int size) {
        boolean within = indices == null || indices.stream().allMatch(i -> i >= 0 && i < size);
        require(within, key, indices, "names listed in the settings");
    }

    /** Returns what the deployment permits. */
    public Capabilities capabilities() {
        return limits.capabilities();
    }

    /** Returns the limits on attempts. */
    public AttemptLimits attemptLimits() {
        return limits.attempts();
    }

    /** Returns the limits on memory grants. */
    public MemoryLimits memoryLimits() {
        return limits.memory();
    }

    /** Returns the kind of a listed engine; an index past the end selects the last kind. */
    public EngineKind kindOf(Endpoint endpoint) {
        return kinds.get(Math.min(endpoint.kind(), kinds.size() - 1));
    }

    /**
     * The position of this front end in the fleet.
     *
     * @param zoneCount number of zones
     * @param zone index of its own zone
     * @param frontEndCount number of front ends, at least 1
     * @param ordinal number of this front end among them, from 0
     */
    public record FleetPosition(int zoneCount, int zone, int frontEndCount, int ordinal) {
        /** Validates the ranges. */
        public FleetPosition {
            require(frontEndCount >= 1, "fronts", frontEndCount, "1 or more");
        }
    }

    /** What the deployment permits, and the limits that it sets. */
    public record Limits(Capabilities capabilities, AttemptLimits attempts, MemoryLimits memory) {}

    /**
     * What the deployment permits.
     *
     * @param cancellation attempts in flight may be cancelled
     * @param healthChecks engines may be asked for their health
     * @param hedging two attempts of one request may be in flight at once; not used
     * @param retryAfter a rejection may advise when to retry
     * @param grants engines honour memory grants
     * @param priorities engines honour priorities
     * @param gossip front ends may send messages to each other
     */
    public record Capabilities(
            boolean cancellation,
            boolean healthChecks,
            boolean hedging,
            boolean retryAfter,
            boolean grants,
            boolean priorities,
            boolean gossip) {}

    /**
     * Limits on attempts.
     *
     * @param maxPerRequest attempts of one request, at least 1
     * @param maxRetryAfterMs longest time after which a client may be advised to retry
     * @param progressIntervalMs how often engines report progress; 0: never
     */
    public record AttemptLimits(int maxPerRequest, double maxRetryAfterMs, double progressIntervalMs) {
        /** Validates the ranges. */
        public AttemptLimits {
            require(maxPerRequest >= 1, "limits: attempts", maxPerRequest, "1 or more");
            requireNotNegative("limits: longest retry-after", maxRetryAfterMs);
            requireNotNegative("limits: time between notes", progressIntervalMs);
        }
    }

    /**
     * Limits on memory grants.
     *
     * @param maxGrantRatio largest fraction of an engine's memory for one request, more than 0 and up to 1
     * @param shortageHandling what an engine does with a request whose grant does not fit
     */
    public record MemoryLimits(double maxGrantRatio, MemoryShortageHandling shortageHandling) {
        /** Validates the ranges. */
        public MemoryLimits {
            boolean inRange = maxGrantRatio > 0 && maxGrantRatio <= 1;
            require(inRange, "limits: most grant", maxGrantRatio, "more than 0, up to 1");
        }
    }

    /**
     * Rules of the platform, which checks that front ends follow them.
     *
     * @param drainGraceMs how long an engine may still get requests after its drain was announced; not
     *     used, as a draining engine gets none
     * @param settleMs how long the next request of an ordering key is held back after an attempt with an
     *     indeterminate outcome
     */
    public record Rules(
            double drainGraceMs,
            SlowStartRule slowStart,
            double settleMs /* 0: none */,
            RetryBudget retryBudget /* of all requests */) {
        /** Validates the ranges. */
        public Rules {
            requireNotNegative("rules: drain grace", drainGraceMs);
            requireNotNegative("rules: settle time", settleMs);
        }
    }

    /**
     * How an engine warms up, and how much work overloads it meanwhile.
     *
     * @param durationMs duration of the warm-up
     * @param initialRatio fraction of its capacity that an engine has at the start
     * @param overloadFactor most work that an engine can be sent within the window without failing, as a
     *     multiple of the work that it can do in that time; 0: no limit
     * @param windowMs length of the sliding window
     */
    public record SlowStartRule(
            double durationMs, double initialRatio, double overloadFactor /* 0: any */, double windowMs) {
        /** Validates the ranges. */
        public SlowStartRule {
            requireNotNegative("rules: cold time", durationMs);
            requireRatio("rules: cold share", initialRatio);
            requireNotNegative("rules: overload factor", overloadFactor);
            requireNotNegative("rules: overload window", windowMs);
        }

        /** Returns whether the work that may be sent to an engine during its warm-up is limited. */
        public boolean limitsWork() {
            return overloadFactor > 0;
        }
    }

    /**
     * Limit on the retries within a sliding window: a constant, plus an amount for each request admitted in
     * the window.
     *
     * @param windowMs length of the window; 0: retries are not limited
     * @param base retries that are always allowed
     * @param perRequest further retries for each admitted request
     */
    public record RetryBudget(double windowMs, double base, double perRequest) {
        /** Validates the ranges. */
        public RetryBudget {
            requireNotNegative("rules: attempt budget's window", windowMs);
            requireNotNegative("rules: attempt budget", base);
            requireNotNegative("rules: attempt budget for each request", perRequest);
        }

        /** Returns whether retries are limited. */
        public boolean isLimited() {
            return windowMs > 0;
        }
    }

    /**
     * What engines report about their load.
     *
     * @param fields the meaning of each value of a report, in order; empty: engines report nothing
     * @param inResponses whether responses contain a report; not used
     */
    public record LoadReporting(List<LoadReportField> fields, boolean inResponses) {
        /** Copies the list. */
        public LoadReporting {
            fields = List.copyOf(fields);
        }
    }

    /**
     * How front ends learn of endpoints.
     *
     * @param requiresSubscription whether service discovery sends the list to subscribers only
     * @param maxPollIntervalMs longest time between polls; 0: not specified; not used
     * @param hasWeights whether the weights in the list carry information; not used
     */
    public record Discovery(boolean requiresSubscription, double maxPollIntervalMs, boolean hasWeights) {}

    /**
     * Costs of messages: the points by which the evaluation score falls at a rate of one message per request.
     *
     * @param healthCheck cost of a health check
     * @param gossip cost of a gossip message of the largest size, for each front end that receives it
     */
    public record MessageCosts(double healthCheck, double gossip) {
        /** Validates the ranges. */
        public MessageCosts {
            requireNotNegative("prices: probe", healthCheck);
            requireNotNegative("prices: peer", gossip);
        }
    }

    /**
     * The tenants' quotas, which the scheduler does not use.
     *
     * @param perTenant quota of each tenant in requests per second, over all front ends
     * @param overQuotaValueRatio fraction of its value that a request beyond its tenant's quota keeps
     */
    public record TenantQuotas(List<Double> perTenant, double overQuotaValueRatio) {
        /** Validates the ranges. */
        public TenantQuotas {
            perTenant = List.copyOf(perTenant);
            perTenant.forEach(quota -> requireNotNegative("tenants: quota", quota));
            requireRatio("over-share worth", overQuotaValueRatio);
        }
    }
}
