package lineward.scheduling.state;

import static org.assertj.core.api.Assertions.assertThat;

import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;
import lineward.scheduling.EngineKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the engine state that is derived from listing, maintenance and health, and the warm-up start. */
public class EngineStateTest {
    private static final EngineKind KIND = new EngineKind(8, 16_000);
    private static final double NOW_MS = 1_000;

    /** An event in the lifecycle of an engine. */
    private enum Step {
        LIST_READY,
        LIST_DRAINING,
        LIST_GONE,
        UNLIST,
        BEGIN_MAINTENANCE,
        RELEASE,
        EJECT,
        SUCCEED;

        void apply(Engine engine) {
            switch (this) {
                case LIST_READY -> engine.update(listed(EndpointState.READY), KIND);
                case LIST_DRAINING -> engine.update(listed(EndpointState.DRAINING), KIND);
                case LIST_GONE -> engine.update(listed(EndpointState.GONE), KIND);
                case UNLIST -> engine.markGone();
                case BEGIN_MAINTENANCE -> engine.beginMaintenance();
                case RELEASE -> engine.release(NOW_MS);
                case EJECT -> engine.health().eject();
                case SUCCEED -> engine.recordSuccess(NOW_MS);
            }
        }

        private static Endpoint listed(EndpointState state) {
            return new Endpoint(1, 0, 1, Endpoint.STARTED_LONG_AGO, state, 0, 0);
        }
    }

    private static Engine engineAfter(Step... steps) {
        Engine engine = new Engine(1, 1_000);
        for (Step step : steps) {
            step.apply(engine);
        }
        return engine;
    }

    /** Sequence of events, expected state after it. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {steps(), EngineState.GONE},
            {steps(Step.LIST_READY), EngineState.READY},
            {steps(Step.LIST_DRAINING), EngineState.DRAINING},
            {steps(Step.LIST_GONE), EngineState.GONE},
            {steps(Step.LIST_READY, Step.LIST_DRAINING), EngineState.DRAINING},
            {steps(Step.LIST_READY, Step.UNLIST), EngineState.GONE},
            {steps(Step.LIST_READY, Step.UNLIST, Step.LIST_READY), EngineState.READY},
            {steps(Step.LIST_READY, Step.EJECT), EngineState.EJECTED},
            {steps(Step.LIST_READY, Step.EJECT, Step.SUCCEED), EngineState.READY},
            {steps(Step.LIST_READY, Step.EJECT, Step.UNLIST), EngineState.GONE},
            {steps(Step.LIST_READY, Step.EJECT, Step.UNLIST, Step.LIST_READY), EngineState.EJECTED},
            {steps(Step.LIST_READY, Step.EJECT, Step.LIST_DRAINING), EngineState.EJECTED},
            {steps(Step.LIST_READY, Step.BEGIN_MAINTENANCE), EngineState.UNDER_MAINTENANCE},
            {steps(Step.LIST_READY, Step.BEGIN_MAINTENANCE, Step.SUCCEED), EngineState.UNDER_MAINTENANCE},
            {steps(Step.LIST_READY, Step.BEGIN_MAINTENANCE, Step.LIST_READY), EngineState.UNDER_MAINTENANCE},
            {steps(Step.LIST_READY, Step.BEGIN_MAINTENANCE, Step.UNLIST), EngineState.GONE},
            {steps(Step.LIST_READY, Step.BEGIN_MAINTENANCE, Step.RELEASE), EngineState.READY},
            {steps(Step.LIST_READY, Step.EJECT, Step.BEGIN_MAINTENANCE, Step.RELEASE), EngineState.READY},
            {steps(Step.LIST_READY, Step.BEGIN_MAINTENANCE, Step.UNLIST, Step.RELEASE), EngineState.GONE},
            {steps(Step.LIST_DRAINING, Step.BEGIN_MAINTENANCE, Step.RELEASE), EngineState.DRAINING},
            {steps(Step.BEGIN_MAINTENANCE), EngineState.GONE},
            {steps(Step.BEGIN_MAINTENANCE, Step.LIST_READY), EngineState.UNDER_MAINTENANCE},
        };
    }

    private static Step[] steps(Step... steps) {
        return steps;
    }

    @Test(dataProvider = "transitions")
    public void stateFollowsFromListingMaintenanceAndHealth(Step[] steps, EngineState expected) {
        Engine engine = engineAfter(steps);
        assertThat(engine.state()).isEqualTo(expected);
        boolean mayGetAttempts = expected == EngineState.READY || expected == EngineState.EJECTED;
        assertThat(engine.isReady() && !mayGetAttempts)
                .as("isReady() in state " + expected)
                .isFalse();
    }

    @Test
    public void releasedEngineAwaitsItsFirstSuccess() {
        Engine engine = engineAfter(Step.LIST_READY, Step.BEGIN_MAINTENANCE, Step.RELEASE);
        assertThat(engine.isAwaitingFirstSuccess()).isTrue();
        Step.SUCCEED.apply(engine);
        assertThat(engine.isAwaitingFirstSuccess()).isFalse();
    }

    /** Announced start, lost connection, expected warm-up start (0: none), whether it is unannounced. */
    @DataProvider
    public Object[][] warmupStarts() {
        return new Object[][] {
            {0, 0, 0, false},
            {500, 0, 500, false},
            {0, 700, 700, true},
            {500, 700, 700, true},
            {900, 700, 900, false},
            {700, 700, 700, false}
        };
    }

    @Test(dataProvider = "warmupStarts")
    public void warmupStartsAtTheLastSignOfAStart(
            double startMs, double connectionLostMs, double expectedMs, boolean unannounced) {
        Engine engine = new Engine(1, 1_000);
        engine.update(new Endpoint(1, 0, 1, startMs, EndpointState.READY, 0, 0), KIND);
        if (connectionLostMs > 0) {
            engine.recordConnectionLost(connectionLostMs);
        }
        assertThat(engine.warmupStartMs().orElse(0)).isEqualTo(expectedMs);
        assertThat(engine.isStartUnannounced()).isEqualTo(unannounced);
    }

    @Test
    public void aNewStartTimeIsARestart() {
        Engine engine = engineAfter(Step.LIST_READY);
        Endpoint restarted = new Endpoint(1, 0, 1, 600, EndpointState.READY, 0, 0);
        assertThat(engine.update(restarted, KIND)).isTrue();
        assertThat(engine.update(restarted, KIND)).isFalse();
    }
}
