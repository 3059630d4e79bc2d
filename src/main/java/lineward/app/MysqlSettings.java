package lineward.app;

import java.util.ArrayList;
import java.util.List;
import lineward.mysql.MysqlConfig;
import lineward.scheduling.DeduplicationScope;
import lineward.scheduling.EngineKind;
import lineward.scheduling.Idempotence;
import lineward.scheduling.MemoryShortage;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerSettings;

/** The module's settings for the pool of MySQL engines. */
final class MysqlSettings {
    private static final double AIM_STRETCH = 2;
    private static final double LATE_SHARE = 0.3;
    private static final double MAX_RETRY_AFTER = 2000;
    private static final double DRAIN_GRACE = 1000;
    /** What an engine that has just started is taken to do, as nobody tells. */
    private static final double COLD_MS = 15_000;

    private static final double COLD_SHARE = 0.34;
    private static final double OVERLOAD_FACTOR = 2.5;
    private static final double FALL_MS = 1500;

    private MysqlSettings() {}

    /** Every class stands twice: what only reads is safe to repeat, what may write is not. */
    static SchedulerSettings of(MysqlConfig config) {
        List<RequestClass> classes = new ArrayList<>();
        for (MysqlConfig.QueryClass c : config.classes()) {
            for (Idempotence effect : List.of(Idempotence.IDEMPOTENT, Idempotence.NON_IDEMPOTENT)) {
                classes.add(new RequestClass(
                        new RequestClass.Objective(c.aimMs(), AIM_STRETCH, c.deadlineMs(), c.worth(), LATE_SHARE),
                        new RequestClass.Repeatability(effect, DeduplicationScope.ALL, 0, false),
                        new RequestClass.Placement(null, null),
                        new RequestClass.Workload(false, false, c.threads())));
            }
        }
        int cores = config.engines().stream()
                .mapToInt(MysqlConfig.Engine::cores)
                .min()
                .orElse(1);
        return new SchedulerSettings(
                classes,
                List.of(new EngineKind(cores, 0)),
                new SchedulerSettings.FleetPosition(1, 0, 1, 0),
                new SchedulerSettings.Limits(
                        new SchedulerSettings.Capabilities(true, false, false, true, false, false, false),
                        new SchedulerSettings.AttemptLimits(config.bounds().maxAttempts(), MAX_RETRY_AFTER, 0),
                        new SchedulerSettings.MemoryLimits(1, MemoryShortage.WAIT)),
                new SchedulerSettings.Rules(
                        DRAIN_GRACE,
                        new SchedulerSettings.SlowStartRule(COLD_MS, COLD_SHARE, OVERLOAD_FACTOR, FALL_MS),
                        0,
                        new SchedulerSettings.RetryBudget(0, 0, 0)),
                new SchedulerSettings.Reporting(List.of(), false),
                new SchedulerSettings.Discovery(false, 0, false),
                new SchedulerSettings.Costs(0, 0),
                new SchedulerSettings.Quotas(List.of(), 1));
    }
}
