package lineward.scheduling.decision;

import static lineward.scheduling.EndpointState.DRAINING;
import static lineward.scheduling.EndpointState.GONE;
import static lineward.scheduling.EndpointState.READY;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;
import lineward.scheduling.RequestClass.Placement;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class EngineEligibilityTest {

    /**
     * The engine is of kind 0 in zone 0. Columns: listed state, whether under maintenance, placement of the
     * class, whether the request may run there.
     */
    @DataProvider
    public Object[][] engines() {
        return new Object[][] {
            {READY, false, Placement.ANYWHERE, true},
            {DRAINING, false, Placement.ANYWHERE, false},
            {GONE, false, Placement.ANYWHERE, false},
            {READY, true, Placement.ANYWHERE, false},
            {READY, false, new Placement(List.of(0), List.of(0)), true},
            {READY, false, new Placement(List.of(1), null), false},
            {READY, false, new Placement(null, List.of(1)), false},
            {READY, false, new Placement(List.of(0), List.of(1)), false},
        };
    }

    @Test(dataProvider = "engines")
    public void runsOnReadyEnginesOfItsPlacement(
            EndpointState state, boolean underMaintenance, Placement placement, boolean mayRun) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.placement = placement;
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1, state);
        if (underMaintenance) {
            engine.beginMaintenance();
        }
        assertThat(EngineEligibility.mayRunOn(policies.admit(), engine)).isEqualTo(mayRun);
        assertThat(policies.eligibility.hasCapacityNow(policies.admit(), engine))
                .isEqualTo(mayRun);
    }

    /** Columns: attempts in flight at an engine that has warmed up, whether it has capacity. */
    @DataProvider
    public Object[][] loads() {
        int limit = PolicyFixture.THREAD_LIMIT;
        return new Object[][] {{0, true}, {limit - 1, true}, {limit, false}};
    }

    @Test(dataProvider = "loads")
    public void hasCapacityBelowTheThreadLimit(int attempts, boolean hasCapacity) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        Engine engine = policies.listEngine(1);
        policies.startAttempts(engine, attempts);
        assertThat(policies.eligibility.hasCapacityNow(policies.admit(), engine))
                .isEqualTo(hasCapacity);
    }

    /**
     * Columns: estimated work of a request in ms, whether an engine that has just started has capacity for
     * it.
     */
    @DataProvider
    public Object[][] slowStarts() {
        return new Object[][] {{3_000, true}, {3_200, false}};
    }

    @Test(dataProvider = "slowStarts")
    public void hasCapacityWithinTheSlowStartBudget(double workMs, boolean hasCapacity) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        Engine engine = policies.listEngineStartedAt(1, PolicyFixture.START_MS);
        ScheduledRequest request = policies.admit(PolicyFixture.NO_KEY, workMs);
        assertThat(policies.eligibility.hasCapacityNow(request, engine)).isEqualTo(hasCapacity);
    }

    /** The state of the only engine besides the one that the attempt runs on. */
    private enum OtherEngine {
        FREE,
        GONE,
        EJECTED,
        TRIED,
        AT_ITS_LIMIT,
        WITH_OVERDUE_HEALTH_CHECK
    }

    @DataProvider
    public Object[][] relaunchTargets() {
        return new Object[][] {
            {OtherEngine.FREE, true},
            {OtherEngine.GONE, false},
            {OtherEngine.EJECTED, false},
            {OtherEngine.TRIED, false},
            {OtherEngine.AT_ITS_LIMIT, false},
            {OtherEngine.WITH_OVERDUE_HEALTH_CHECK, true},
        };
    }

    @Test(dataProvider = "relaunchTargets")
    public void relaunchesOnAHealthyUntriedEngineWithCapacity(OtherEngine condition, boolean hasTarget) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        Engine other = policies.listEngine(2, condition == OtherEngine.GONE ? GONE : READY);
        ScheduledRequest request = policies.admit();
        if (condition == OtherEngine.TRIED) {
            policies.endAndRequeue(policies.start(request, other), AttemptOutcome.ERROR);
        }
        Attempt attempt = policies.start(request, policies.listEngine(1));
        switch (condition) {
            case EJECTED -> other.health().eject();
            case AT_ITS_LIMIT -> policies.startAttempts(other, PolicyFixture.THREAD_LIMIT);
            case WITH_OVERDUE_HEALTH_CHECK -> other.load().startHealthCheck(PolicyFixture.START_MS - 1_000);
            default -> {}
        }
        assertThat(policies.eligibility.hasTargetForRelaunch(attempt)).isEqualTo(hasTarget);
    }
}
