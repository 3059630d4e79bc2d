package lineward.app;

import java.util.ArrayList;
import java.util.List;
import lineward.mysql.MysqlConfig;
import peatwick.Front;

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
    static Front.Settings of(MysqlConfig config) {
        List<Front.RequestClass> classes = new ArrayList<>();
        for (MysqlConfig.QueryClass c : config.classes()) {
            for (Front.Effect effect : List.of(Front.Effect.SAFE, Front.Effect.UNSAFE)) {
                classes.add(new Front.RequestClass(
                        c.aimMs(),
                        AIM_STRETCH,
                        c.deadlineMs(),
                        c.worth(),
                        LATE_SHARE,
                        effect,
                        Front.Scope.ALL,
                        0,
                        false,
                        null,
                        null,
                        false,
                        false,
                        c.threads()));
            }
        }
        int cores = config.engines().stream()
                .mapToInt(MysqlConfig.Engine::cores)
                .min()
                .orElse(1);
        return new Front.Settings(
                classes,
                List.of(new Front.Kind(cores, 0)),
                1,
                0,
                1,
                0,
                new Front.Limits(
                        true,
                        false,
                        false,
                        true,
                        MAX_RETRY_AFTER,
                        config.bounds().maxAttempts(),
                        false,
                        false,
                        1,
                        Front.WhenShort.WAIT,
                        0,
                        false),
                new Front.Rules(DRAIN_GRACE, COLD_MS, COLD_SHARE, OVERLOAD_FACTOR, FALL_MS, 0, 0, 0, 0),
                List.of(),
                false,
                false,
                0,
                false,
                new Front.Prices(0, 0),
                List.of(),
                1);
    }
}
