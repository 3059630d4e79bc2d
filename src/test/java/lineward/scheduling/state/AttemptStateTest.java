package lineward.scheduling.state;

import static lineward.scheduling.state.AttemptState.CANCELLING;
import static lineward.scheduling.state.AttemptState.ENDED;
import static lineward.scheduling.state.AttemptState.RUNNING;
import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests all state transitions of an attempt. */
public class AttemptStateTest {

    /** Initial state, expected state after cancel, expected state after end. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {RUNNING, CANCELLING, ENDED},
            {CANCELLING, CANCELLING, ENDED},
            {ENDED, ENDED, ENDED},
        };
    }

    @Test(dataProvider = "transitions")
    public void transitionsLeadToTheExpectedStates(
            AttemptState state, AttemptState afterCancel, AttemptState afterEnd) {
        assertThat(state.cancelled()).isEqualTo(afterCancel);
        assertThat(state.ended()).isEqualTo(afterEnd);
    }
}
