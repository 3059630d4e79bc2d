package lineward.app;

import java.util.ArrayList;
import java.util.List;
import lineward.mysql.MysqlConfig;
import lineward.mysql.engine.EngineConfig;
import lineward.scheduling.DeduplicationScope;
import lineward.scheduling.EngineKind;
import lineward.scheduling.Idempotence;
import lineward.scheduling.MemoryShortageHandling;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerSettings;

/** The scheduler's settings for the pool of MySQL engines. */
final class MysqlSchedulerSettings {
    /** Milliseconds that the latency objective grows with each millisecond of a request's run time. */
    private static final double LATENCY_PER_WORK = 2;

    private static final double OVERDUE_VALUE_RATIO = 0.3;
    private static final double MAX_RETRY_AFTER_MS = 2000;
    private static final double DRAIN_GRACE_MS = 1000;
    /** Duration of an engine's slow start, which the file does not configure. */
    private static final double SLOW_START_MS = 15_000;

    private static final double INITIAL_CAPACITY_RATIO = 0.34;
    private static final double OVERLOAD_FACTOR = 2.5;
    private static final double OVERLOAD_WINDOW_MS = 1500;

    private MysqlSchedulerSettings() {}

    /**
     * Returns the settings, with two classes for each class of the file: an idempotent one for statements
     * that only read, and one that is not idempotent for all others.
     */
    static SchedulerSettings of(MysqlConfig config) {
        int cores =
                config.engines().stream().mapToInt(EngineConfig::cores).min().orElse(1);
        return new SchedulerSettings(
                classes(config.classes()),
                List.of(new EngineKind(cores, 0)),
                new SchedulerSettings.FleetPosition(1, 0, 1, 0),
                limits(config.limits().maxAttempts()),
                rules(),
                new SchedulerSettings.LoadReporting(List.of(), false),
                new SchedulerSettings.Discovery(false, 0, false),
                new SchedulerSettings.MessageCosts(0, 0),
                new SchedulerSettings.TenantQuotas(List.of(), 1));
    }

    private static List<RequestClass> classes(List<MysqlConfig.QueryClass> queryClasses) {
        List<RequestClass> classes = new ArrayList<>();
        for (MysqlConfig.QueryClass queryClass : queryClasses) {
            classes.add(requestClass(queryClass, Idempotence.IDEMPOTENT));
            classes.add(requestClass(queryClass, Idempotence.NON_IDEMPOTENT));
        }
        return classes;
    }

    private static RequestClass requestClass(MysqlConfig.QueryClass queryClass, Idempotence idempotence) {
        return new RequestClass(
                new RequestClass.Objective(
                        queryClass.latencyObjectiveMs(),
                        LATENCY_PER_WORK,
                        queryClass.deadlineMs(),
                        queryClass.priorityWeight(),
                        OVERDUE_VALUE_RATIO),
                new RequestClass.Repeatability(idempotence, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(false, false, queryClass.threads()));
    }

    private static SchedulerSettings.Limits limits(int maxAttempts) {
        return new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, false, false, true, false, false, false),
                new SchedulerSettings.AttemptLimits(maxAttempts, MAX_RETRY_AFTER_MS, 0),
                new SchedulerSettings.MemoryLimits(1, MemoryShortageHandling.WAIT));
    }

    private static SchedulerSettings.Rules rules() {
        return new SchedulerSettings.Rules(
                DRAIN_GRACE_MS,
                new SchedulerSettings.SlowStartRule(
                        SLOW_START_MS, INITIAL_CAPACITY_RATIO, OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS),
                0,
                new SchedulerSettings.RetryBudget(0, 0, 0));
    }
}
