package lineward.scheduling.decision;

import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.DeduplicationScope;
import lineward.scheduling.EngineKind;
import lineward.scheduling.Idempotence;
import lineward.scheduling.LoadReportField;
import lineward.scheduling.MemoryShortageHandling;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerSettings;

/** Builds settings with one class of requests and equal engines. Tests set the fields that they vary. */
final class SettingsBuilder {
    static final double NO_COST = 0;

    private static final boolean HEALTH_CHECKS = true;
    private static final boolean HEDGING = false;

    RequestClass.Objective objective = new RequestClass.Objective(1_000, 1, 5_000, 1, 0);
    Idempotence idempotence = Idempotence.IDEMPOTENT;
    DeduplicationScope scope = DeduplicationScope.ALL;
    double keyTtlMs = 2_000;
    boolean inOrder;
    RequestClass.Placement placement = RequestClass.Placement.ANYWHERE;
    RequestClass.ExecutionProfile workload = new RequestClass.ExecutionProfile(false, false, 1);
    /** Additional classes; the class that the fields above describe comes first. */
    final List<RequestClass> otherClasses = new ArrayList<>();

    EngineKind engineKind = new EngineKind(8, 16_000);
    int frontEnds = 1;
    int ordinal;
    boolean cancel = true;
    boolean retryAfter = true;
    boolean grants = true;
    boolean priorities = true;
    boolean gossip;
    int maxAttempts = 4;
    double maxRetryAfterMs = 500;
    double progressIntervalMs;
    MemoryShortageHandling memoryShortage = MemoryShortageHandling.WAIT;
    double overloadFactor = 3;
    double settleMs = 500;
    SchedulerSettings.RetryBudget retryBudget = new SchedulerSettings.RetryBudget(0, 0, 0);
    List<LoadReportField> reportFields = List.of();
    double healthCheckCost = NO_COST;

    /** Returns the class that the fields describe. */
    RequestClass requestClass() {
        RequestClass.Repeatability repeatability =
                new RequestClass.Repeatability(idempotence, scope, keyTtlMs, inOrder);
        return new RequestClass(objective, repeatability, placement, workload);
    }

    SchedulerSettings build() {
        List<RequestClass> classes = new ArrayList<>(List.of(requestClass()));
        classes.addAll(otherClasses);
        return new SchedulerSettings(
                classes,
                List.of(engineKind, engineKind),
                new SchedulerSettings.FleetPosition(2, 0, frontEnds, ordinal),
                limits(),
                rules(),
                new SchedulerSettings.LoadReporting(reportFields, false),
                new SchedulerSettings.Discovery(false, 0, false),
                new SchedulerSettings.MessageCosts(healthCheckCost, NO_COST),
                new SchedulerSettings.TenantQuotas(List.of(), 1));
    }

    private SchedulerSettings.Limits limits() {
        SchedulerSettings.Capabilities capabilities = new SchedulerSettings.Capabilities(
                cancel, HEALTH_CHECKS, HEDGING, retryAfter, grants, priorities, gossip);
        return new SchedulerSettings.Limits(
                capabilities,
                new SchedulerSettings.AttemptLimits(maxAttempts, maxRetryAfterMs, progressIntervalMs),
                new SchedulerSettings.MemoryLimits(0.4, memoryShortage));
    }

    private SchedulerSettings.Rules rules() {
        SchedulerSettings.SlowStartRule slowStart =
                new SchedulerSettings.SlowStartRule(15_000, 0.33, overloadFactor, 1_000);
        return new SchedulerSettings.Rules(1_000, slowStart, settleMs, retryBudget);
    }
}
