package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;

import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.Idempotence;
import lineward.scheduling.RequestClass;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.CancelCause;
import lineward.scheduling.state.RequestState;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class CancellationPolicyTest {

    /**
     * Columns: whether cancellation is permitted, whether the attempt was cancelled, whether it has ended,
     * whether it may be cancelled.
     */
    @DataProvider
    public Object[][] attempts() {
        return new Object[][] {
            {true, false, false, true},
            {false, false, false, false},
            {true, true, false, false},
            {true, false, true, false},
        };
    }

    @Test(dataProvider = "attempts")
    public void mayCancelIfRunning(boolean permitted, boolean cancelled, boolean ended, boolean mayCancel) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.cancel = permitted;
        PolicyFixture policies = new PolicyFixture(settings);
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        if (cancelled) {
            attempt.cancel(CancelCause.SPECULATIVE);
        }
        if (ended) {
            policies.end(attempt, AttemptOutcome.OK);
        }
        assertThat(policies.cancellation.mayCancel(attempt)).isEqualTo(mayCancel);
    }

    @DataProvider
    public Object[][] requestStates() {
        return new Object[][] {
            {RequestState.QUEUED, true},
            {RequestState.IN_FLIGHT, true},
            {RequestState.STREAMING, false},
            {RequestState.COMPLETED, false},
        };
    }

    @Test(dataProvider = "requestStates")
    public void isUnansweredUntilTheResponseStarts(RequestState state, boolean unanswered) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        ScheduledRequest request = policies.admit();
        if (state != RequestState.QUEUED) {
            policies.start(request, policies.listEngine(1));
        }
        if (state == RequestState.STREAMING) {
            request.startResponse();
        } else if (state == RequestState.COMPLETED) {
            request.complete();
        }
        assertThat(request.state()).isEqualTo(state);
        assertThat(policies.cancellation.isUnanswered(request)).isEqualTo(unanswered);
    }

    /** The state of an attempt of 200 ms that starts at admission, 1,200 ms before the objective. */
    private enum Run {
        WAITING,
        RUNNING,
        WAITING_WITH_PROGRESS,
        CANCELLED,
        STREAMING;

        void apply(Attempt attempt, double nowMs) {
            if (this == WAITING || this == WAITING_WITH_PROGRESS) {
                attempt.setWaiting(true, nowMs);
            }
            switch (this) {
                case WAITING_WITH_PROGRESS -> attempt.recordProgress(0.1, nowMs);
                case CANCELLED -> attempt.cancel(CancelCause.SPECULATIVE);
                case STREAMING -> attempt.request().startResponse();
                default -> {}
            }
        }
    }

    /**
     * Columns: state of the attempt, its age in ms, overdue value ratio, idempotence, whether cancellation is
     * permitted, whether the request is to be given up.
     */
    @DataProvider
    public Object[][] attemptStates() {
        return new Object[][] {
            {Run.WAITING, 1_040, 0, Idempotence.IDEMPOTENT, true, false},
            {Run.WAITING, 1_041, 0, Idempotence.IDEMPOTENT, true, true},
            {Run.WAITING, 1_041, 0.5, Idempotence.IDEMPOTENT, true, true},
            {Run.WAITING_WITH_PROGRESS, 1_041, 0, Idempotence.IDEMPOTENT, true, false},
            {Run.RUNNING, 1_041, 0, Idempotence.IDEMPOTENT, true, false},
            {Run.RUNNING, 1_500, 0, Idempotence.IDEMPOTENT, true, false},
            {Run.RUNNING, 1_501, 0, Idempotence.IDEMPOTENT, true, true},
            {Run.RUNNING, 1_501, 0.5, Idempotence.IDEMPOTENT, true, false},
            {Run.CANCELLED, 1_501, 0, Idempotence.IDEMPOTENT, true, true},
            {Run.STREAMING, 1_501, 0, Idempotence.IDEMPOTENT, true, false},
            {Run.RUNNING, 1_501, 0, Idempotence.BY_KEY, true, false},
            {Run.RUNNING, 1_501, 0, Idempotence.NON_IDEMPOTENT, true, false},
            {Run.RUNNING, 1_501, 0, Idempotence.IDEMPOTENT, false, false},
        };
    }

    @Test(dataProvider = "attemptStates")
    public void givesUpByAgeAndProgress(
            Run run, double ageMs, double lateRatio, Idempotence repeat, boolean permitted, boolean givenUp) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.objective = new RequestClass.Objective(1_000, 1, 5_000, 1, lateRatio);
        settings.idempotence = repeat;
        settings.cancel = permitted;
        PolicyFixture policies = new PolicyFixture(settings);
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        run.apply(attempt, policies.context.nowMs());
        policies.advance(ageMs);
        assertThat(policies.cancellation.shouldGiveUp(attempt)).isEqualTo(givenUp);
    }
}
