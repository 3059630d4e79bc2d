package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalDouble;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.Idempotence;
import lineward.scheduling.SchedulerSettings.RetryBudget;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.CancelCause;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests have an estimated run time of 200 ms and a speculative timeout of 400 ms. */
public class SpeculativeCancellationTest {
    private static final double TIMEOUT_RATIO = 2;
    private static final double TIMEOUT_MS = TIMEOUT_RATIO * PolicyFixture.WORK_MS;
    private static final double PROGRESS_INTERVAL_MS = 100;

    private static boolean shouldCancel(PolicyFixture policies, Attempt attempt) {
        return new SpeculativeCancellation(
                        policies.context, policies.cancellation, policies.retries, policies.eligibility)
                .shouldCancel(attempt);
    }

    private static PolicyFixture policiesWithTimeout(SettingsBuilder settings) {
        PolicyFixture policies = new PolicyFixture(settings);
        policies.addCompletedRuns();
        policies.context.requestClass(0).setSpeculativeTimeoutRatio(OptionalDouble.of(TIMEOUT_RATIO));
        policies.listEngine(1);
        policies.listEngine(2);
        return policies;
    }

    /** The conditions of a cancellation at the speculative timeout. A test case violates one, or none. */
    private enum Condition {
        NONE,
        CANCEL_PERMITTED,
        NOT_YET_CANCELLED,
        RESPONSE_NOT_STARTED,
        IDEMPOTENT,
        ATTEMPTS_LEFT,
        WITHIN_RETRY_BUDGET,
        ENGINE_FOR_A_RELAUNCH,
        TIME_FOR_A_RELAUNCH,
        NOT_EXEMPT,
        NOT_WAITING,
        NOT_RELAUNCHED,
        ENOUGH_COMPLETED_RUNS,
        TIMEOUT_KNOWN;

        SettingsBuilder settings() {
            SettingsBuilder settings = new SettingsBuilder();
            settings.cancel = this != CANCEL_PERMITTED;
            settings.idempotence = this == IDEMPOTENT ? Idempotence.NON_IDEMPOTENT : Idempotence.IDEMPOTENT;
            settings.maxAttempts = this == ATTEMPTS_LEFT ? 1 : 2 + (this == NOT_RELAUNCHED ? 1 : 0);
            settings.retryBudget = new RetryBudget(10_000, this == WITHIN_RETRY_BUDGET ? 0 : 2, 0);
            return settings;
        }

        PolicyFixture policies() {
            PolicyFixture policies = new PolicyFixture(settings());
            policies.listEngine(1);
            if (this != ENGINE_FOR_A_RELAUNCH) {
                policies.listEngine(2);
            }
            policies.listEngine(3).health().eject();
            if (this != ENOUGH_COMPLETED_RUNS) {
                policies.addCompletedRuns();
            }
            if (this != TIMEOUT_KNOWN) {
                policies.context.requestClass(0).setSpeculativeTimeoutRatio(OptionalDouble.of(TIMEOUT_RATIO));
            }
            return policies;
        }

        void apply(PolicyFixture policies, Attempt attempt) {
            switch (this) {
                case NOT_YET_CANCELLED -> attempt.cancel(CancelCause.REQUEST_COMPLETED);
                case RESPONSE_NOT_STARTED -> attempt.request().startResponse();
                case NOT_WAITING -> attempt.setWaiting(true, policies.context.nowMs());
                case TIME_FOR_A_RELAUNCH -> policies.advance(PolicyFixture.TIME_LEFT_MS - TIMEOUT_MS - 199);
                default -> {}
            }
        }
    }

    @DataProvider
    public Object[][] conditions() {
        return PolicyFixture.rowPerCondition(Condition.values());
    }

    @Test(dataProvider = "conditions")
    public void cancelsAtTheTimeoutIfEachConditionIsMet(Condition unmet, boolean cancelled) {
        PolicyFixture policies = unmet.policies();
        ScheduledRequest request = unmet == Condition.NOT_EXEMPT ? policies.admitExempt() : policies.admit();
        if (unmet == Condition.NOT_RELAUNCHED) {
            policies.cancelAndRequeue(policies.start(request, policies.listEngine(4)));
        }
        Attempt attempt = policies.start(request, policies.listEngine(1));
        policies.advance(TIMEOUT_MS);
        unmet.apply(policies, attempt);
        assertThat(shouldCancel(policies, attempt)).isEqualTo(cancelled);
    }

    /** Columns: run time in ms of an attempt without progress reports, whether it is cancelled. */
    @DataProvider
    public Object[][] runTimes() {
        return new Object[][] {{TIMEOUT_MS - 1, false}, {TIMEOUT_MS, true}, {4_800, true}, {4_801, false}};
    }

    @Test(dataProvider = "runTimes")
    public void cancelsFromTheTimeoutUntilARelaunchCannotBeInTime(double runMs, boolean cancelled) {
        PolicyFixture policies = policiesWithTimeout(new SettingsBuilder());
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        policies.advance(runMs);
        assertThat(shouldCancel(policies, attempt)).isEqualTo(cancelled);
    }

    /**
     * Columns: run time in ms at the report, fraction done by then, age of the report in ms, whether the
     * attempt is cancelled.
     */
    @DataProvider
    public Object[][] progress() {
        return new Object[][] {
            {TIMEOUT_MS, 0.66, 0, true},
            {TIMEOUT_MS, 0.67, 0, false},
            {TIMEOUT_MS, 0.67, 249, false},
            {TIMEOUT_MS, 0.67, 250, true},
            {TIMEOUT_MS / 2, 0.33, 0, true},
            {TIMEOUT_MS / 2, 0.34, 0, false},
            {TIMEOUT_MS - 251, 0.1, 250, false},
        };
    }

    @Test(dataProvider = "progress")
    public void sparesNearlyDoneAttemptsAndCancelsVerySlowOnesEarly(
            double runMs, double ratioDone, double reportAgeMs, boolean cancelled) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.progressIntervalMs = PROGRESS_INTERVAL_MS;
        PolicyFixture policies = policiesWithTimeout(settings);
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        policies.advance(runMs);
        attempt.recordProgress(ratioDone, policies.context.nowMs());
        policies.advance(reportAgeMs);
        assertThat(shouldCancel(policies, attempt)).isEqualTo(cancelled);
    }

    /** Columns: fraction done by a relaunch after 400 ms, whether it waits, whether it is cancelled. */
    @DataProvider
    public Object[][] relaunches() {
        return new Object[][] {{0.33, false, true}, {0.34, false, false}, {0.33, true, false}};
    }

    @Test(dataProvider = "relaunches")
    public void cancelsAStalledRelaunch(double ratioDone, boolean waiting, boolean cancelled) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.progressIntervalMs = PROGRESS_INTERVAL_MS;
        PolicyFixture policies = policiesWithTimeout(settings);
        ScheduledRequest request = policies.admit();
        policies.cancelAndRequeue(policies.start(request, policies.listEngine(3)));
        Attempt relaunch = policies.start(request, policies.listEngine(1));
        policies.advance(400);
        relaunch.recordProgress(ratioDone, policies.context.nowMs());
        relaunch.setWaiting(waiting, policies.context.nowMs());
        assertThat(shouldCancel(policies, relaunch)).isEqualTo(cancelled);
    }

    /**
     * The attempt's engine is ejected. Columns: whether the attempt is a recovery probe, run time in ms,
     * whether it is cancelled.
     */
    @DataProvider
    public Object[][] ejections() {
        return new Object[][] {{false, 0, true}, {true, 0, false}, {true, 700, false}, {true, 701, true}};
    }

    @Test(dataProvider = "ejections")
    public void cancelsOnEjectedEnginesAllButRecoveryProbesInTime(
            boolean recoveryProbe, double runMs, boolean cancelled) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        policies.listEngine(2);
        Engine ejected = policies.listEngine(1);
        if (recoveryProbe) {
            ejected.health().eject();
        }
        Attempt attempt = policies.start(policies.admit(), ejected);
        ejected.health().eject();
        policies.advance(runMs);
        assertThat(shouldCancel(policies, attempt)).isEqualTo(cancelled);
    }

    @Test
    public void exemptsAFiftiethOfTheRequests() {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        SpeculativeCancellation speculation = new SpeculativeCancellation(
                policies.context, policies.cancellation, policies.retries, policies.eligibility);
        int exempt = 0;
        for (int request = 0; request < 10_000; request++) {
            exempt += speculation.drawExempt() ? 1 : 0;
        }
        assertThat(exempt).isBetween(150, 250);
    }

    @Test
    public void cancelsNothingThatHasEnded() {
        PolicyFixture policies = policiesWithTimeout(new SettingsBuilder());
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        policies.advance(TIMEOUT_MS);
        policies.end(attempt, AttemptOutcome.OK);
        assertThat(shouldCancel(policies, attempt)).isFalse();
    }
}
