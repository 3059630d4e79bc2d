package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;
import lineward.scheduling.Idempotence;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EngineSelectorTest {
    private static final double MAX_HEALTH_CHECK_MS = 25;
    private static final long NO_ENGINE = 0;

    private static long selectedEngineId(PolicyFixture policies, ScheduledRequest request) {
        EngineSelector selector = new EngineSelector(
                policies.context,
                policies.limits,
                policies.retries,
                policies.outliers,
                policies.eligibility,
                policies.loadScore);
        Optional<Engine> engine = selector.selectEngine(request);
        return engine.map(Engine::id).orElse(NO_ENGINE);
    }

    /** The state of an engine, which affects whether the next attempt of a request goes to it. */
    private enum Condition {
        NOT_BUSY,
        BUSY,
        AT_ITS_LIMIT,
        DRAINING,
        UNDER_MAINTENANCE,
        RELEASED_AND_BUSY_NOW,
        RELEASED,
        EJECTED,
        EJECTED_AND_PROBE_DUE,
        TRIED,
        HEALTH_CHECK_IN_TIME,
        HEALTH_CHECK_OVERDUE;

        private static final int BUSY_ATTEMPTS = 6;

        void apply(PolicyFixture policies, Engine engine, ScheduledRequest request) {
            double nowMs = policies.context.nowMs();
            switch (this) {
                case NOT_BUSY -> {}
                case BUSY -> policies.startAttempts(engine, BUSY_ATTEMPTS);
                case AT_ITS_LIMIT -> policies.startAttempts(engine, PolicyFixture.THREAD_LIMIT);
                case DRAINING -> policies.listEngine(engine.id(), EndpointState.DRAINING);
                case UNDER_MAINTENANCE -> engine.beginMaintenance();
                case RELEASED -> releaseLongAgo(engine);
                case RELEASED_AND_BUSY_NOW -> {
                    releaseLongAgo(engine);
                    policies.startAttempts(engine, BUSY_ATTEMPTS);
                }
                case EJECTED -> {
                    engine.health().eject();
                    engine.health().scheduleRecoveryProbe(nowMs + 1);
                }
                case EJECTED_AND_PROBE_DUE -> {
                    engine.health().eject();
                    engine.health().scheduleRecoveryProbe(nowMs);
                }
                case TRIED -> policies.endAndRequeue(policies.start(request, engine), AttemptOutcome.ERROR);
                case HEALTH_CHECK_IN_TIME -> engine.load().startHealthCheck(nowMs - MAX_HEALTH_CHECK_MS + 1);
                case HEALTH_CHECK_OVERDUE -> engine.load().startHealthCheck(nowMs - MAX_HEALTH_CHECK_MS);
            }
        }

        private static void releaseLongAgo(Engine engine) {
            engine.beginMaintenance();
            engine.release(0);
        }
    }

    /** Columns: condition of engine 1, condition of engine 2, engine expected to be selected. */
    @DataProvider
    public Object[][] engines() {
        return new Object[][] {
            {Condition.NOT_BUSY, Condition.BUSY, 1},
            {Condition.BUSY, Condition.NOT_BUSY, 2},
            {Condition.AT_ITS_LIMIT, Condition.BUSY, 2},
            {Condition.AT_ITS_LIMIT, Condition.AT_ITS_LIMIT, NO_ENGINE},
            {Condition.DRAINING, Condition.BUSY, 2},
            {Condition.UNDER_MAINTENANCE, Condition.BUSY, 2},
            {Condition.NOT_BUSY, Condition.RELEASED, 2},
            {Condition.NOT_BUSY, Condition.RELEASED_AND_BUSY_NOW, 1},
            {Condition.EJECTED, Condition.BUSY, 2},
            {Condition.NOT_BUSY, Condition.EJECTED_AND_PROBE_DUE, 2},
            {Condition.EJECTED, Condition.EJECTED, NO_ENGINE},
            {Condition.EJECTED, Condition.EJECTED_AND_PROBE_DUE, 2},
            {Condition.TRIED, Condition.BUSY, 2},
            {Condition.TRIED, Condition.UNDER_MAINTENANCE, 1},
            {Condition.TRIED, Condition.TRIED, 1},
            {Condition.HEALTH_CHECK_OVERDUE, Condition.BUSY, 2},
            {Condition.HEALTH_CHECK_IN_TIME, Condition.BUSY, 1},
        };
    }

    @Test(dataProvider = "engines")
    public void selectsTheEligibleEngineWithTheLeastLoad(Condition first, Condition second, long expectedId) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        ScheduledRequest request = policies.admit();
        Engine engine1 = policies.listEngine(1);
        Engine engine2 = policies.listEngine(2);
        first.apply(policies, engine1, request);
        second.apply(policies, engine2, request);
        if (first == Condition.TRIED && second == Condition.TRIED) {
            policies.startAttempts(engine2, Condition.BUSY_ATTEMPTS);
        }
        assertThat(selectedEngineId(policies, request)).isEqualTo(expectedId);
    }

    @Test
    public void leavesAProbeToIdempotentRequests() {
        SettingsBuilder settings = new SettingsBuilder();
        settings.idempotence = Idempotence.NON_IDEMPOTENT;
        PolicyFixture policies = new PolicyFixture(settings);
        ScheduledRequest request = policies.admit();
        policies.listEngine(1);
        Condition.EJECTED_AND_PROBE_DUE.apply(policies, policies.listEngine(2), request);
        assertThat(selectedEngineId(policies, request)).isEqualTo(1);
    }

    @Test
    public void selectsNoEngineForARequestWithoutAttemptsLeft() {
        SettingsBuilder settings = new SettingsBuilder();
        settings.maxAttempts = 1;
        PolicyFixture policies = new PolicyFixture(settings);
        ScheduledRequest request = policies.admit();
        policies.listEngine(2);
        Condition.TRIED.apply(policies, policies.listEngine(1), request);
        assertThat(selectedEngineId(policies, request)).isEqualTo(NO_ENGINE);
    }

    /**
     * Each of 100 front ends may use 0.156 threads of the only engine. Columns: attempts in flight there,
     * engine expected to be selected, whether dispatch of the class is paused.
     */
    @DataProvider
    public Object[][] quotas() {
        return new Object[][] {{0, 1, false}, {1, NO_ENGINE, true}};
    }

    @Test(dataProvider = "quotas")
    public void pausesTheClassPastTheQuotaOfTheFleet(int inFlight, long expectedId, boolean paused) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.frontEnds = 100;
        PolicyFixture policies = new PolicyFixture(settings);
        policies.startAttempts(policies.listEngine(1), inFlight);
        ScheduledRequest request = policies.admit();
        assertThat(selectedEngineId(policies, request)).isEqualTo(expectedId);
        assertThat(request.requestClass().isDispatchPaused()).isEqualTo(paused);
    }
}
