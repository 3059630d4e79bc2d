package lineward.scheduling.state;

import static lineward.scheduling.state.RequestState.COMPLETED;
import static lineward.scheduling.state.RequestState.IN_FLIGHT;
import static lineward.scheduling.state.RequestState.QUEUED;
import static lineward.scheduling.state.RequestState.STREAMING;
import static org.assertj.core.api.Assertions.assertThat;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests all state transitions of a request. */
public class RequestStateTest {

    /** Initial state, expected states after attempt started, response started, requeued, completed. */
    @DataProvider
    public Object[][] transitions() {
        return new Object[][] {
            {QUEUED, IN_FLIGHT, QUEUED, QUEUED, COMPLETED},
            {IN_FLIGHT, IN_FLIGHT, STREAMING, QUEUED, COMPLETED},
            {STREAMING, STREAMING, STREAMING, QUEUED, COMPLETED},
            {COMPLETED, COMPLETED, COMPLETED, COMPLETED, COMPLETED},
        };
    }

    @Test(dataProvider = "transitions")
    public void transitionsLeadToTheExpectedStates(
            RequestState state,
            RequestState attemptStarted,
            RequestState responseStarted,
            RequestState requeued,
            RequestState completed) {
        assertThat(state.attemptStarted(false)).isEqualTo(attemptStarted);
        assertThat(state.responseStarted()).isEqualTo(responseStarted);
        assertThat(state.requeued()).isEqualTo(requeued);
        assertThat(state.completed()).isEqualTo(completed);
        assertThat(state.isCompleted()).isEqualTo(state == COMPLETED);
    }

    @Test
    public void retryAfterTheResponseStartedIsStreaming() {
        assertThat(QUEUED.attemptStarted(true)).isEqualTo(STREAMING);
    }
}
