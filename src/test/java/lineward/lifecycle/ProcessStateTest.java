package lineward.lifecycle;

import static lineward.lifecycle.ProcessState.DRAINING;
import static lineward.lifecycle.ProcessState.SERVING;
import static lineward.lifecycle.ProcessState.STARTING;
import static lineward.lifecycle.ProcessState.STARTING_DRAINED;
import static lineward.lifecycle.ProcessState.TERMINATING;
import static lineward.lifecycle.ProcessState.TERMINATING_DRAINED;
import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The transitions of the process, for every state and every event, and the properties of the states. */
public class ProcessStateTest {
    /**
     * State; the next state once all protocols listen, a drain is started, a drain is stopped, on SIGTERM.
     */
    @DataProvider
    public Object[][] transitions() {
        ProcessState drained = TERMINATING_DRAINED;
        return new Object[][] {
            {STARTING, SERVING, STARTING_DRAINED, STARTING, TERMINATING},
            {STARTING_DRAINED, DRAINING, STARTING_DRAINED, STARTING, TERMINATING_DRAINED},
            {SERVING, SERVING, DRAINING, SERVING, TERMINATING},
            {DRAINING, DRAINING, DRAINING, SERVING, TERMINATING_DRAINED},
            {TERMINATING, TERMINATING, TERMINATING_DRAINED, TERMINATING, TERMINATING},
            {TERMINATING_DRAINED, drained, drained, drained, drained}
        };
    }

    @Test(dataProvider = "transitions")
    public void eachEventLeadsToItsState(
            ProcessState state,
            ProcessState listening,
            ProcessState drainStarted,
            ProcessState drainStopped,
            ProcessState terminated) {
        assertEquals(state.afterListening(), listening);
        assertEquals(state.afterDrainStarted(), drainStarted);
        assertEquals(state.afterDrainStopped(), drainStopped);
        assertEquals(state.afterTermination(), terminated);
    }

    /** State; whether the process is ready, draining, terminating. */
    @DataProvider
    public Object[][] properties() {
        return new Object[][] {
            {STARTING, false, false, false},
            {STARTING_DRAINED, false, true, false},
            {SERVING, true, false, false},
            {DRAINING, false, true, false},
            {TERMINATING, false, false, true},
            {TERMINATING_DRAINED, false, false, true}
        };
    }

    @Test(dataProvider = "properties")
    public void eachStateHasItsProperties(ProcessState state, boolean ready, boolean drains, boolean ends) {
        assertEquals(state.isReady(), ready);
        assertEquals(state.isDraining(), drains);
        assertEquals(state.isTerminating(), ends);
    }

    @Test
    public void tablesContainEveryState() {
        assertEquals(transitions().length, ProcessState.values().length);
        assertEquals(properties().length, ProcessState.values().length);
    }
}
