package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;

import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.Idempotence;
import lineward.scheduling.SchedulerSettings.RetryBudget;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.CancelCause;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MigrationPolicyTest {
    /** Age in ms from which a run of 200 ms would not end before the objective at 1,200 ms. */
    private static final double TOO_LATE_MS = 1_000;

    private static boolean shouldMigrate(PolicyFixture policies, Attempt attempt) {
        RetryPolicy retries = policies.retries;
        MigrationPolicy policy =
                new MigrationPolicy(policies.context, policies.cancellation, retries, policies.eligibility);
        return policy.shouldMigrate(attempt);
    }

    /** The conditions of a migration. A test case violates one of them, or none. */
    private enum Condition {
        NONE,
        CANCEL_PERMITTED,
        IN_FLIGHT,
        RESPONSE_NOT_STARTED,
        WAITING,
        NO_PROGRESS,
        IDEMPOTENT,
        IDEMPOTENT_WITHOUT_A_KEY,
        IN_TIME_ELSEWHERE,
        WITHIN_RETRY_BUDGET,
        ENGINE_FOR_A_RELAUNCH;

        SettingsBuilder settings() {
            SettingsBuilder settings = new SettingsBuilder();
            settings.cancel = this != CANCEL_PERMITTED;
            if (this == IDEMPOTENT) {
                settings.idempotence = Idempotence.NON_IDEMPOTENT;
            } else if (this == IDEMPOTENT_WITHOUT_A_KEY) {
                settings.idempotence = Idempotence.BY_KEY;
            }
            settings.retryBudget = new RetryBudget(10_000, this == WITHIN_RETRY_BUDGET ? 0 : 1, 0);
            return settings;
        }

        void apply(PolicyFixture policies, Attempt attempt) {
            switch (this) {
                case IN_FLIGHT -> attempt.cancel(CancelCause.SPECULATIVE);
                case RESPONSE_NOT_STARTED -> attempt.request().startResponse();
                case WAITING -> attempt.setWaiting(false, policies.context.nowMs());
                case NO_PROGRESS -> attempt.recordProgress(0.1, policies.context.nowMs());
                case IN_TIME_ELSEWHERE -> policies.advance(TOO_LATE_MS);
                case ENGINE_FOR_A_RELAUNCH -> policies.listEngine(2).health().eject();
                default -> {}
            }
        }
    }

    @DataProvider
    public Object[][] conditions() {
        return PolicyFixture.rowPerCondition(Condition.values());
    }

    @Test(dataProvider = "conditions")
    public void migratesIfEachConditionIsMet(Condition unmet, boolean migrated) {
        PolicyFixture policies = new PolicyFixture(unmet.settings());
        policies.listEngine(2);
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        attempt.setWaiting(true, policies.context.nowMs());
        unmet.apply(policies, attempt);
        assertThat(shouldMigrate(policies, attempt)).isEqualTo(migrated);
    }

    /** Columns: time in ms since admission, whether the attempt is migrated. */
    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{0, true}, {TOO_LATE_MS - 1, true}, {TOO_LATE_MS, false}};
    }

    @Test(dataProvider = "ages")
    public void migratesWhileItsRunWouldBeInTime(double ageMs, boolean migrated) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        policies.listEngine(2);
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        attempt.setWaiting(true, policies.context.nowMs());
        policies.advance(ageMs);
        assertThat(shouldMigrate(policies, attempt)).isEqualTo(migrated);
    }

    /** Columns: earlier migrations, maximum number of attempts, whether the attempt is migrated again. */
    @DataProvider
    public Object[][] migrations() {
        return new Object[][] {
            {0, 2, false},
            {0, 3, true},
            {1, 3, false},
            {1, 4, true},
            {2, 10, false},
        };
    }

    @Test(dataProvider = "migrations")
    public void reservesAnAttemptForARelaunch(int earlierMigrations, int maxAttempts, boolean migrated) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.maxAttempts = maxAttempts;
        PolicyFixture policies = new PolicyFixture(settings);
        policies.listEngine(2);
        ScheduledRequest request = policies.admit();
        for (int migration = 0; migration < earlierMigrations; migration++) {
            Attempt migratedAttempt = policies.start(request, policies.listEngine(10 + migration));
            migratedAttempt.cancel(CancelCause.MIGRATION);
            policies.endAndRequeue(migratedAttempt, AttemptOutcome.CANCELLED);
        }
        Attempt attempt = policies.start(request, policies.listEngine(1));
        attempt.setWaiting(true, policies.context.nowMs());
        assertThat(shouldMigrate(policies, attempt)).isEqualTo(migrated);
    }
}
