package lineward.scheduling.decision;

import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;
import static lineward.scheduling.DeduplicationScope.ALL;
import static lineward.scheduling.DeduplicationScope.CELL;
import static lineward.scheduling.DeduplicationScope.ZONE;
import static lineward.scheduling.Idempotence.BY_KEY;
import static lineward.scheduling.Idempotence.IDEMPOTENT;
import static lineward.scheduling.Idempotence.NON_IDEMPOTENT;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.DeduplicationScope;
import lineward.scheduling.Idempotence;
import lineward.scheduling.RequestClass;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FinalAnswerPolicyTest {
    private static final Optional<AttemptOutcome> IN_FLIGHT = Optional.empty();

    private static SchedulerAction finalAnswer(PolicyFixture policies, ScheduledRequest request) {
        return new FinalAnswerPolicy(policies.context, policies.retries).finalAnswer(request);
    }

    /**
     * Columns: outcome of the only attempt, idempotence, scope, whether the request is rejected rather than
     * failed.
     */
    @DataProvider
    public Object[][] answers() {
        return new Object[][] {
            {Optional.of(REJECTED), NON_IDEMPOTENT, ALL, true},
            {Optional.of(CONNECT_FAILED), NON_IDEMPOTENT, ALL, true},
            {Optional.of(ERROR), NON_IDEMPOTENT, ALL, false},
            {Optional.of(TIMEOUT), NON_IDEMPOTENT, ALL, false},
            {Optional.of(RESET), NON_IDEMPOTENT, ALL, false},
            {IN_FLIGHT, NON_IDEMPOTENT, ALL, false},
            {Optional.of(TIMEOUT), IDEMPOTENT, CELL, true},
            {IN_FLIGHT, IDEMPOTENT, CELL, true},
            {Optional.of(TIMEOUT), BY_KEY, ALL, true},
            {Optional.of(TIMEOUT), BY_KEY, ZONE, false},
            {Optional.of(TIMEOUT), BY_KEY, CELL, false},
            {Optional.of(REJECTED), BY_KEY, CELL, true},
            {IN_FLIGHT, BY_KEY, CELL, false},
        };
    }

    @Test(dataProvider = "answers")
    public void rejectsWhatNeverRanOrMayRunTwice(
            Optional<AttemptOutcome> ended, Idempotence repeat, DeduplicationScope scope, boolean rejected) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.idempotence = repeat;
        settings.scope = scope;
        PolicyFixture policies = new PolicyFixture(settings);
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        ended.ifPresent(outcome -> policies.end(attempt, outcome));
        Class<? extends SchedulerAction> expected =
                rejected ? SchedulerAction.Reject.class : SchedulerAction.Fail.class;
        assertThat(finalAnswer(policies, attempt.request())).isInstanceOf(expected);
    }

    @DataProvider
    public Object[][] idempotence() {
        return new Object[][] {{IDEMPOTENT}, {BY_KEY}, {NON_IDEMPOTENT}};
    }

    @Test(dataProvider = "idempotence")
    public void rejectsWhatHasNoAttempt(Idempotence idempotence) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.idempotence = idempotence;
        settings.scope = CELL;
        PolicyFixture policies = new PolicyFixture(settings);
        assertThat(finalAnswer(policies, policies.admit())).isInstanceOf(SchedulerAction.Reject.class);
    }

    /**
     * Columns: whether Retry-After is permitted, its maximum in ms, latency objective in ms, expected
     * Retry-After in ms.
     */
    @DataProvider
    public Object[][] retryAfters() {
        return new Object[][] {
            {true, 500, 1_000, 250},
            {true, 500, 2_000, 500},
            {true, 500, 2_004, 500},
            {false, 500, 1_000, 0},
        };
    }

    @Test(dataProvider = "retryAfters")
    public void advisesAQuarterOfTheObjectiveWithinTheMaximum(
            boolean permitted, double maxRetryAfterMs, double latencyMs, double expectedMs) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.retryAfter = permitted;
        settings.maxRetryAfterMs = maxRetryAfterMs;
        settings.objective = new RequestClass.Objective(latencyMs, 1, 5_000, 1, 0);
        PolicyFixture policies = new PolicyFixture(settings);
        ScheduledRequest request = policies.admit();
        SchedulerAction expected = new SchedulerAction.Reject(request.id(), expectedMs);
        assertThat(finalAnswer(policies, request)).isEqualTo(expected);
    }
}
