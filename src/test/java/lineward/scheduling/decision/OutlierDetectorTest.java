package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lineward.scheduling.Idempotence;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.state.EjectionCause;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Requests have an estimated run time of 200 ms, so an attempt is overdue after 3 x 200 + 900 ms. */
public class OutlierDetectorTest {

    /** The outcome of an attempt on an engine; each attempt belongs to a different request. */
    private enum Outcome {
        SUCCESS,
        ERROR,
        RESET,
        CONNECT_FAILURE;

        void apply(PolicyFixture policies, Engine engine) {
            switch (this) {
                case SUCCESS -> policies.outliers.recordSuccess(engine);
                case ERROR -> policies.outliers.recordError(policies.admit(), engine);
                case RESET -> policies.outliers.recordReset(engine);
                case CONNECT_FAILURE -> policies.outliers.recordConnectFailure(engine);
            }
        }
    }

    /**
     * Columns: successive outcomes on one engine, whether it is then ejected, whether its process counts as
     * restarted.
     */
    @DataProvider
    public Object[][] outcomes() {
        return new Object[][] {
            {List.of(Outcome.ERROR, Outcome.ERROR), false, false},
            {List.of(Outcome.ERROR, Outcome.ERROR, Outcome.ERROR), true, false},
            {List.of(Outcome.ERROR, Outcome.ERROR, Outcome.SUCCESS, Outcome.ERROR), false, false},
            {List.of(Outcome.ERROR, Outcome.ERROR, Outcome.ERROR, Outcome.SUCCESS), false, false},
            {List.of(Outcome.RESET), false, false},
            {List.of(Outcome.RESET, Outcome.RESET), false, true},
            {List.of(Outcome.RESET, Outcome.SUCCESS, Outcome.RESET), false, false},
            {List.of(Outcome.RESET, Outcome.RESET, Outcome.RESET), true, true},
            {List.of(Outcome.ERROR, Outcome.RESET, Outcome.ERROR), true, true},
            {List.of(Outcome.CONNECT_FAILURE), true, true},
            {List.of(Outcome.CONNECT_FAILURE, Outcome.SUCCESS), false, true},
        };
    }

    @Test(dataProvider = "outcomes")
    public void ejectsAfterConsecutiveFailures(List<Outcome> outcomes, boolean ejected, boolean restarted) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        Engine engine = policies.listEngine(1);
        outcomes.forEach(outcome -> outcome.apply(policies, engine));
        assertThat(engine.health().isEjected()).isEqualTo(ejected);
        assertThat(engine.isStartUnannounced()).isEqualTo(restarted);
    }

    /**
     * Columns: earlier failures, whether the next error ejects the engine, failures that remain after the
     * second error of that request.
     */
    @DataProvider
    public Object[][] revertedErrors() {
        return new Object[][] {{0, false, 0}, {1, false, 1}, {2, true, 2}, {3, true, 3}};
    }

    @Test(dataProvider = "revertedErrors")
    public void revertsTheFirstErrorOfARequestThatFailsTwice(int failures, boolean ejected, int remaining) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        Engine first = policies.listEngine(1);
        Engine second = policies.listEngine(2);
        for (int failure = 0; failure < failures; failure++) {
            Outcome.ERROR.apply(policies, first);
        }
        ScheduledRequest request = policies.admit();
        policies.outliers.recordError(request, first);
        assertThat(first.health().isEjected()).isEqualTo(ejected);
        policies.outliers.recordError(request, second);
        assertThat(first.health().consecutiveFailures()).isEqualTo(remaining);
        assertThat(first.health().isEjected()).isEqualTo(remaining >= 3);
        assertThat(second.health().consecutiveFailures()).isZero();
    }

    /**
     * Columns: interval of progress reports in ms (0 for none), running attempts, waiting attempts, their age
     * in ms, time from their start to the last response in ms, whether the engine is ejected.
     */
    @DataProvider
    public Object[][] silences() {
        return new Object[][] {
            {0, 1, 0, 5_000, 0, false},
            {0, 2, 0, 1_500, 0, false},
            {0, 2, 0, 1_501, 0, true},
            {0, 0, 2, 5_000, 0, false},
            {0, 1, 1, 5_000, 0, false},
            {0, 2, 0, 2_000, 1_101, false},
            {0, 2, 0, 2_000, 1_100, true},
            {500, 1, 0, 899, 0, false},
            {500, 1, 0, 900, 0, true},
            {500, 0, 1, 900, 0, false},
            {1_000, 1, 0, 1_550, 0, false},
            {1_000, 1, 0, 1_551, 0, true},
            {2_000, 2, 0, 2_000, 0, false},
            {2_000, 2, 0, 2_001, 0, true},
        };
    }

    @Test(dataProvider = "silences")
    public void ejectsASilentEngineWithOverdueWork(
            double intervalMs, int running, int waiting, double ageMs, double answeredAtMs, boolean ejected) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.progressIntervalMs = intervalMs;
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1);
        policies.startAttempts(engine, running);
        for (int attempt = 0; attempt < waiting; attempt++) {
            policies.start(policies.admit(), engine).setWaiting(true, policies.context.nowMs());
        }
        policies.advance(answeredAtMs);
        engine.health().recordActivity(policies.context.nowMs());
        policies.advance(ageMs - answeredAtMs);
        policies.outliers.detectSilence(engine);
        assertThat(engine.health().isEjected()).isEqualTo(ejected);
    }

    /** Columns: healthy engines, engines that a request may run on, whether ejected ones are used as well. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{0, 0, false}, {0, 1, true}, {1, 2, false}, {1, 3, true}, {2, 5, false}};
    }

    @Test(dataProvider = "fleets")
    public void usesEjectedEnginesIfTooFewAreHealthy(int healthy, int allowed, boolean useEjected) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        assertThat(policies.outliers.mustUseEjected(healthy, allowed)).isEqualTo(useEjected);
    }

    /**
     * Columns: whether the engine is ejected, time in ms since the last probe, probes used, whether the
     * request is relaunched, its idempotence, its age in ms, whether it may probe.
     */
    @DataProvider
    public Object[][] probes() {
        return new Object[][] {
            {true, 700, 1, false, Idempotence.IDEMPOTENT, 599, true},
            {false, 700, 1, false, Idempotence.IDEMPOTENT, 0, false},
            {true, 699, 1, false, Idempotence.IDEMPOTENT, 0, false},
            {true, 700, 2, false, Idempotence.IDEMPOTENT, 0, false},
            {true, 700, 1, true, Idempotence.IDEMPOTENT, 0, false},
            {true, 700, 1, false, Idempotence.BY_KEY, 0, false},
            {true, 700, 1, false, Idempotence.IDEMPOTENT, 600, false},
        };
    }

    @Test(dataProvider = "probes")
    public void probesWithASuitableRequest(
            boolean ejected,
            double sinceProbeMs,
            int probesUsed,
            boolean relaunched,
            Idempotence idempotence,
            double ageMs,
            boolean mayProbe) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.idempotence = idempotence;
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1);
        if (ejected) {
            engine.health().eject();
        }
        for (int probe = 0; probe < probesUsed; probe++) {
            policies.outliers.spendRecoveryProbe(engine);
        }
        policies.advance(sinceProbeMs - ageMs);
        ScheduledRequest request = policies.admit();
        if (relaunched) {
            policies.cancelAndRequeue(policies.start(request, policies.listEngine(2)));
        }
        policies.advance(ageMs);
        assertThat(policies.outliers.mayProbe(engine, request)).isEqualTo(mayProbe);
    }

    /** Columns: requests admitted after all probes were used, whether one of them may probe. */
    @DataProvider
    public Object[][] earnings() {
        return new Object[][] {{9, false}, {11, true}};
    }

    @Test(dataProvider = "earnings")
    public void earnsAProbeWithTenRequests(int admitted, boolean mayProbe) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        Engine engine = policies.listEngine(1);
        engine.health().eject();
        policies.outliers.spendRecoveryProbe(engine);
        policies.outliers.spendRecoveryProbe(engine);
        for (int request = 0; request < admitted; request++) {
            policies.outliers.earnRecoveryProbe();
        }
        policies.advance(1_000);
        assertThat(policies.outliers.mayProbe(engine, policies.admit())).isEqualTo(mayProbe);
    }

    @Test
    public void logsAnEjectionOnceWithItsCause() {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        Engine engine = policies.listEngine(26);
        policies.outliers.eject(engine, EjectionCause.SILENCE);
        policies.outliers.eject(engine, EjectionCause.ERRORS);
        assertThat(policies.context.endDecision())
                .containsExactly(new SchedulerAction.LogMessage("engine ejected: engine=1a cause=silence"));
    }
}
