package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;
import lineward.scheduling.LoadReportField;
import lineward.scheduling.SchedulerAction.ScheduleTimer;
import lineward.scheduling.SchedulerAction.StartHealthCheck;
import lineward.scheduling.SchedulerEvent.HealthCheckCompleted;
import lineward.scheduling.state.Engine;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LoadReportPollingTest {
    private static final double[] REPORT = {3};
    private static final double[] NO_REPORT = {};

    private static SettingsBuilder settings() {
        SettingsBuilder settings = new SettingsBuilder();
        settings.gossip = true;
        settings.reportFields = List.of(LoadReportField.IN_FLIGHT);
        return settings;
    }

    private static LoadReportPolling polling(PolicyFixture policies) {
        return new LoadReportPolling(policies.context, policies.reports, policies.outliers);
    }

    private static List<Long> polledEngineIds(PolicyFixture policies) {
        return policies.context.endDecision().stream()
                .filter(StartHealthCheck.class::isInstance)
                .map(action -> ((StartHealthCheck) action).engine())
                .toList();
    }

    private static double nextPollDelayMs(PolicyFixture policies) {
        List<ScheduleTimer> timers = policies.context.endDecision().stream()
                .filter(ScheduleTimer.class::isInstance)
                .map(ScheduleTimer.class::cast)
                .toList();
        assertThat(timers).hasSize(1);
        assertThat(timers.get(0).token()).isEqualTo(LoadReportPolling.POLL_TIMER);
        return timers.get(0).delayMs();
    }

    /** Columns: whether gossip is permitted, whether engines report their load, whether polling starts. */
    @DataProvider
    public Object[][] capabilities() {
        return new Object[][] {{true, true, true}, {false, true, false}, {true, false, false}};
    }

    @Test(dataProvider = "capabilities")
    public void startsWhereFrontEndsShareReports(boolean gossip, boolean reported, boolean starts) {
        SettingsBuilder settings = settings();
        settings.gossip = gossip;
        settings.reportFields = reported ? settings.reportFields : List.of();
        PolicyFixture policies = new PolicyFixture(settings);
        polling(policies).start();
        if (starts) {
            assertThat(nextPollDelayMs(policies)).isBetween(0.0, 250.0);
        } else {
            assertThat(policies.context.endDecision()).isEmpty();
        }
    }

    /** Columns: ready engines, expected number of polled engines. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{0, 0}, {3, 3}, {4, 4}, {6, 4}};
    }

    @Test(dataProvider = "fleets")
    public void pollsUpToFourEngines(int ready, int expectedCount) {
        PolicyFixture policies = new PolicyFixture(settings());
        for (int id = 1; id <= ready; id++) {
            policies.listEngine(id);
        }
        policies.listEngine(100, EndpointState.DRAINING);
        policies.listEngine(101).load().startHealthCheck(PolicyFixture.START_MS);
        polling(policies).poll();
        assertThat(polledEngineIds(policies)).hasSize(expectedCount).doesNotContain(100L, 101L);
    }

    @Test
    public void pollsTheEnginesWithTheOldestReports() {
        PolicyFixture policies = new PolicyFixture(settings());
        for (long id = 1; id <= 6; id++) {
            Engine engine = policies.listEngine(id);
            if (id != 4) {
                policies.reports.apply(engine, REPORT);
            }
            policies.advance(1_000);
        }
        polling(policies).poll();
        assertThat(polledEngineIds(policies)).containsExactly(4L, 1L, 2L, 3L);
    }

    /**
     * Columns: engines, front ends, cost of a health check, requests in one second, bounds of the next delay
     * in ms.
     */
    @DataProvider
    public Object[][] delays() {
        return new Object[][] {
            {1, 1, 0, 0, 250, 750},
            {4, 1, 0, 0, 100, 300},
            {1, 4, 0, 0, 1_000, 3_000},
            {1, 1, 0.01, 1, 2_000, 6_000},
            {1, 1, 0.01, 4, 500, 1_500},
            {1, 1, 0.01, 100, 250, 750},
            {1, 1, 1, 1, 5_000, 15_000},
        };
    }

    @Test(dataProvider = "delays")
    public void limitsPollingByItsCost(
            int engines, int frontEnds, double healthCheckCost, int requests, double minMs, double maxMs) {
        SettingsBuilder settings = settings();
        settings.frontEnds = frontEnds;
        settings.healthCheckCost = healthCheckCost;
        PolicyFixture policies = new PolicyFixture(settings);
        for (int id = 1; id <= engines; id++) {
            policies.listEngine(id);
        }
        LoadReportPolling polling = polling(policies);
        for (int request = 0; request < requests; request++) {
            polling.countRequest();
        }
        policies.advance(1_000);
        polling.poll();
        assertThat(nextPollDelayMs(policies)).isBetween(minMs, maxMs);
    }

    /** Columns: outcome of a health check, whether its report is applied, whether the engine is ejected. */
    @DataProvider
    public Object[][] outcomes() {
        return new Object[][] {
            {AttemptOutcome.OK, true, false},
            {AttemptOutcome.REJECTED, false, false},
            {AttemptOutcome.ERROR, false, true},
            {AttemptOutcome.TIMEOUT, false, true},
            {AttemptOutcome.CONNECT_FAILED, false, true},
        };
    }

    @Test(dataProvider = "outcomes")
    public void appliesReportsAndEjectsOnFailure(AttemptOutcome outcome, boolean applied, boolean ejected) {
        PolicyFixture policies = new PolicyFixture(settings());
        Engine engine = policies.listEngine(1);
        engine.load().startHealthCheck(PolicyFixture.START_MS);
        double[] report = applied ? REPORT : NO_REPORT;
        polling(policies).applyHealthCheck(new HealthCheckCompleted(1, outcome, 5, report), engine);
        assertThat(policies.reports.hasFreshReport(engine)).isEqualTo(applied);
        assertThat(engine.health().isEjected()).isEqualTo(ejected);
        assertThat(engine.load().healthCheckStartedMs()).isEmpty();
    }
}
