package lineward.scheduling.decision;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.NOT_STARTED;
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

import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.DeduplicationScope;
import lineward.scheduling.Idempotence;
import lineward.scheduling.SchedulerAction.StartAttempt;
import lineward.scheduling.SchedulerSettings.RetryBudget;
import lineward.scheduling.state.Attempt;
import lineward.scheduling.state.CancelCause;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RetryPolicyTest {
    private static final double KEY_TTL_MS = 2_000;

    private static SettingsBuilder settings(Idempotence idempotence, DeduplicationScope scope) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.idempotence = idempotence;
        settings.scope = scope;
        settings.keyTtlMs = KEY_TTL_MS;
        return settings;
    }

    /**
     * Columns: outcome of the only attempt, idempotence, maximum number of attempts, errors of the request,
     * whether it may be retried.
     */
    @DataProvider
    public Object[][] retries() {
        return new Object[][] {
            {REJECTED, NON_IDEMPOTENT, 2, 0, true},
            {CONNECT_FAILED, NON_IDEMPOTENT, 2, 0, true},
            {ERROR, NON_IDEMPOTENT, 2, 1, false},
            {TIMEOUT, NON_IDEMPOTENT, 2, 0, false},
            {RESET, NON_IDEMPOTENT, 2, 0, false},
            {CANCELLED, NON_IDEMPOTENT, 2, 0, false},
            {ERROR, IDEMPOTENT, 2, 1, true},
            {TIMEOUT, IDEMPOTENT, 2, 0, true},
            {RESET, IDEMPOTENT, 2, 0, true},
            {CANCELLED, IDEMPOTENT, 2, 0, true},
            {ERROR, BY_KEY, 2, 1, true},
            {TIMEOUT, BY_KEY, 2, 0, true},
            {NOT_STARTED, IDEMPOTENT, 2, 0, false},
            {NOT_STARTED, NON_IDEMPOTENT, 2, 0, false},
            {ERROR, IDEMPOTENT, 1, 1, false},
            {REJECTED, NON_IDEMPOTENT, 1, 0, false},
            {ERROR, IDEMPOTENT, 2, 2, true},
            {ERROR, IDEMPOTENT, 2, 3, false},
        };
    }

    @Test(dataProvider = "retries")
    public void retriesByOutcomeIdempotenceAttemptsAndErrors(
            AttemptOutcome outcome, Idempotence idempotence, int maxAttempts, int errors, boolean mayRetry) {
        SettingsBuilder settings = settings(idempotence, ALL);
        settings.maxAttempts = maxAttempts;
        PolicyFixture policies = new PolicyFixture(settings);
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        policies.end(attempt, outcome);
        for (int error = 0; error < errors; error++) {
            attempt.request().recordError(attempt.engine());
        }
        assertThat(policies.retries.mayRetry(attempt.request(), outcome)).isEqualTo(mayRetry);
    }

    /**
     * Columns: ended attempts, maximum number of attempts, whether one is in flight, whether the request is
     * completed, time in ms since admission, whether it may be attempted.
     */
    @DataProvider
    public Object[][] requestStates() {
        return new Object[][] {
            {0, 1, false, false, 0, true},
            {0, 2, true, false, 0, false},
            {0, 1, false, true, 0, false},
            {0, 1, false, false, 4_999, true},
            {0, 1, false, false, 5_000, false},
            {1, 2, false, false, 0, true},
            {2, 2, false, false, 0, false},
        };
    }

    @Test(dataProvider = "requestStates")
    public void attemptsOnlyReadyRequests(
            int ended, int maxAttempts, boolean inFlight, boolean completed, double ageMs, boolean expected) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.maxAttempts = maxAttempts;
        PolicyFixture policies = new PolicyFixture(settings);
        ScheduledRequest request = policies.admit();
        for (int attempt = 0; attempt < ended; attempt++) {
            policies.endAndRequeue(policies.start(request, policies.listEngine(1)), ERROR);
        }
        if (inFlight) {
            policies.start(request, policies.listEngine(1));
        }
        if (completed) {
            request.complete();
        }
        policies.advance(ageMs);
        assertThat(policies.retries.mayAttempt(request, policies.listEngine(2))).isEqualTo(expected);
    }

    /**
     * The first attempt runs in zone 0 and cell 0. Columns: idempotence, scope, zone and cell of another
     * engine, time in ms since the start of the first attempt, whether the request may be repeated there.
     */
    @DataProvider
    public Object[][] repeats() {
        return new Object[][] {
            {IDEMPOTENT, CELL, 1, 1, 3_000, true},
            {NON_IDEMPOTENT, ALL, 0, 0, 0, false},
            {BY_KEY, ALL, 1, 1, 0, true},
            {BY_KEY, ZONE, 0, 1, 0, true},
            {BY_KEY, ZONE, 1, 0, 0, false},
            {BY_KEY, CELL, 1, 0, 0, true},
            {BY_KEY, CELL, 0, 1, 0, false},
            {BY_KEY, ALL, 0, 0, KEY_TTL_MS - 1, true},
            {BY_KEY, ALL, 0, 0, KEY_TTL_MS, false},
        };
    }

    @Test(dataProvider = "repeats")
    public void repeatsWhereTheKeyIsRecognised(
            Idempotence repeat, DeduplicationScope scope, int zone, int cell, double ageMs, boolean may) {
        PolicyFixture policies = new PolicyFixture(settings(repeat, scope));
        Attempt first = policies.start(policies.admit(), policies.listEngine(1, 0, 0));
        policies.endAndRequeue(first, TIMEOUT);
        policies.advance(ageMs);
        boolean mayAttempt = policies.retries.mayAttempt(first.request(), policies.listEngine(2, zone, cell));
        assertThat(mayAttempt).isEqualTo(may);
    }

    /**
     * Columns: idempotence, outcome of the first attempt, time in ms since its start, time in ms within which
     * the next attempt must start.
     */
    @DataProvider
    public Object[][] startLimits() {
        return new Object[][] {
            {IDEMPOTENT, TIMEOUT, 500, StartAttempt.ANY_TIME},
            {NON_IDEMPOTENT, REJECTED, 500, StartAttempt.ANY_TIME},
            {NON_IDEMPOTENT, TIMEOUT, 500, 0},
            {BY_KEY, REJECTED, 500, StartAttempt.ANY_TIME},
            {BY_KEY, TIMEOUT, 500, KEY_TTL_MS - 500},
        };
    }

    @Test(dataProvider = "startLimits")
    public void limitsTheStartOfARepeat(
            Idempotence idempotence, AttemptOutcome outcome, double ageMs, double expectedMs) {
        PolicyFixture policies = new PolicyFixture(settings(idempotence, ALL));
        Attempt first = policies.start(policies.admit(), policies.listEngine(1));
        policies.endAndRequeue(first, outcome);
        policies.advance(ageMs);
        assertThat(policies.retries.startWithinMs(first.request())).isEqualTo(expectedMs);
    }

    /**
     * Columns: retry budget, ended attempts of the request, cancellations of other requests in flight,
     * whether the request may be attempted, whether it may be relaunched.
     */
    @DataProvider
    public Object[][] budgets() {
        return new Object[][] {
            {0, 0, 0, true, false},
            {0, 1, 0, false, false},
            {1, 1, 0, true, true},
            {1, 1, 1, true, false},
            {2, 1, 1, true, true},
        };
    }

    @Test(dataProvider = "budgets")
    public void keepsRetriesAndRelaunchesWithinTheBudget(
            int budget, int ended, int cancels, boolean mayAttempt, boolean mayRelaunch) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.retryBudget = new RetryBudget(10_000, budget, 0);
        PolicyFixture policies = new PolicyFixture(settings);
        ScheduledRequest request = policies.admit();
        for (int attempt = 0; attempt < ended; attempt++) {
            policies.endAndRequeue(policies.start(request, policies.listEngine(1)), ERROR);
        }
        for (int cancel = 0; cancel < cancels; cancel++) {
            policies.start(policies.admit(), policies.listEngine(2)).cancel(CancelCause.SPECULATIVE);
        }
        assertThat(policies.retries.mayAttempt(request, policies.listEngine(3))).isEqualTo(mayAttempt);
        assertThat(policies.retries.mayRelaunch(request)).isEqualTo(mayRelaunch);
    }

    /**
     * Columns: idempotence, time in ms since the start of the first attempt, whether a relaunch is permitted
     * by the lifetime of the key.
     */
    @DataProvider
    public Object[][] keyAges() {
        double latestMs = KEY_TTL_MS - OutlierDetector.MIN_SILENCE_MS;
        return new Object[][] {
            {BY_KEY, latestMs, true},
            {BY_KEY, latestMs + 1, false},
            {IDEMPOTENT, latestMs + 1, true},
        };
    }

    @Test(dataProvider = "keyAges")
    public void relaunchesBeforeTheKeyExpires(Idempotence idempotence, double ageMs, boolean mayRelaunch) {
        PolicyFixture policies = new PolicyFixture(settings(idempotence, ALL));
        Attempt attempt = policies.start(policies.admit(), policies.listEngine(1));
        policies.advance(ageMs);
        assertThat(policies.retries.mayRelaunch(attempt.request())).isEqualTo(mayRelaunch);
    }

    /** Columns: idempotence, scope, whether a second run is harmless on any engine. */
    @DataProvider
    public Object[][] doubleRuns() {
        return new Object[][] {
            {IDEMPOTENT, CELL, true},
            {BY_KEY, ALL, true},
            {BY_KEY, ZONE, false},
            {BY_KEY, CELL, false},
            {NON_IDEMPOTENT, ALL, false},
        };
    }

    @Test(dataProvider = "doubleRuns")
    public void mayRunTwiceIfRepeatableAnywhere(
            Idempotence idempotence, DeduplicationScope scope, boolean mayRunTwice) {
        PolicyFixture policies = new PolicyFixture(settings(idempotence, scope));
        assertThat(policies.retries.mayRunTwice(policies.admit())).isEqualTo(mayRunTwice);
    }

    @Test
    public void attemptsTheFirstRequestOfAKeyOnly() {
        SettingsBuilder settings = new SettingsBuilder();
        settings.inOrder = true;
        PolicyFixture policies = new PolicyFixture(settings);
        ScheduledRequest first = policies.admit(77, PolicyFixture.WORK_MS);
        ScheduledRequest second = policies.admit(77, PolicyFixture.WORK_MS);
        assertThat(policies.retries.mayAttempt(first, policies.listEngine(1))).isTrue();
        assertThat(policies.retries.mayAttempt(second, policies.listEngine(1))).isFalse();
    }
}
