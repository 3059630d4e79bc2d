package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import lineward.scheduling.EngineKind;
import lineward.scheduling.LoadReportField;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConcurrencyLimitsTest {
    private static final double TOLERANCE = 1e-9;

    private static SettingsBuilder settings(int frontEnds) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.frontEnds = frontEnds;
        return settings;
    }

    /** Columns: cores, front ends, threads in flight, whether the engine has capacity. */
    @DataProvider
    public Object[][] threads() {
        return new Object[][] {
            {8, 1, 11, true},
            {8, 1, 12, false},
            {4, 1, 5, true},
            {4, 1, 6, false},
            {8, 2, 7, true},
            {8, 2, 8, false},
            {8, 100, 0, true},
            {8, 100, 1, false},
        };
    }

    @Test(dataProvider = "threads")
    public void limitsThreadsByCoresAndQuota(int cores, int frontEnds, int inFlight, boolean hasCapacity) {
        SettingsBuilder settings = settings(frontEnds);
        settings.engineKind = new EngineKind(cores, 16_000);
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1);
        policies.startAttempts(engine, inFlight);
        assertThat(policies.limits.hasCapacity(engine, policies.admit())).isEqualTo(hasCapacity);
    }

    /**
     * Columns: memory of the engine in MB, front ends, attempts of 6,400 MB in flight there, whether the
     * engine has capacity for one more.
     */
    @DataProvider
    public Object[][] memory() {
        return new Object[][] {
            {16_000, 1, 1, true},
            {16_000, 1, 2, false},
            {16_000, 2, 0, true},
            {16_000, 2, 1, false},
            {0, 1, 2, true},
        };
    }

    @Test(dataProvider = "memory")
    public void limitsMemoryByTheQuota(double memoryMb, int frontEnds, int inFlight, boolean hasCapacity) {
        SettingsBuilder settings = settings(frontEnds);
        settings.engineKind = new EngineKind(8, memoryMb);
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1);
        for (int attempt = 0; attempt < inFlight; attempt++) {
            policies.start(policies.admit(0, PolicyFixture.NO_KEY, 200, 5_120), engine);
        }
        ScheduledRequest request = policies.admit(0, PolicyFixture.NO_KEY, 200, 5_120);
        assertThat(policies.limits.hasCapacity(engine, request)).isEqualTo(hasCapacity);
    }

    /**
     * Columns: threads in the load report, attempts started since, age of the report in ms, whether the
     * engine has capacity.
     */
    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {8, 0, 0, true},
            {15, 0, 0, false},
            {8, 7, 0, false},
            {15, 0, 1_499, false},
            {15, 0, 1_500, true},
        };
    }

    @Test(dataProvider = "reports")
    public void limitsThreadsByLoadReport(double reported, int started, double ageMs, boolean hasCapacity) {
        SettingsBuilder settings = settings(1);
        settings.reportFields = List.of(LoadReportField.IN_FLIGHT);
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1);
        policies.reports.apply(engine, new double[] {reported});
        policies.startAttempts(engine, started);
        policies.advance(ageMs);
        assertThat(policies.limits.hasCapacity(engine, policies.admit())).isEqualTo(hasCapacity);
    }

    /** Columns: front ends, initial quota, fraction of the load that this front end does not see. */
    @DataProvider
    public Object[][] frontEnds() {
        return new Object[][] {{1, 1, 0}, {2, 0.65, 0}, {4, 0.325, 0}, {8, 0.1625, 0.5}, {100, 0.013, 0.96}};
    }

    @Test(dataProvider = "frontEnds")
    public void startsWithTheMinimumQuota(int frontEnds, double quota, double unseenLoadRatio) {
        PolicyFixture policies = new PolicyFixture(settings(frontEnds));
        assertThat(policies.limits.quota()).isCloseTo(quota, within(TOLERANCE));
        assertThat(policies.limits.unseenLoadRatio()).isCloseTo(unseenLoadRatio, within(TOLERANCE));
    }

    /**
     * One of 100 front ends has a quota of 0.13 after 5 s of blocked requests; the quota is then adapted once
     * more. Columns: whether requests are blocked, slowdown, interval in ms, expected quota.
     */
    @DataProvider
    public Object[][] adaptations() {
        return new Object[][] {
            {true, 1, 5_000, 1},
            {true, 1, 2_500, 0.13 * Math.sqrt(10)},
            {false, 1, 5_000, 0.13 / 1.05},
            {true, 1.2, 5_000, 1},
            {true, 1.5, 2_500, 0.13 / Math.sqrt(10)},
            {false, 1.5, 5_000, 0.013},
            {false, 1.5, 10_000, 0.013},
        };
    }

    @Test(dataProvider = "adaptations")
    public void growsTheQuotaWhileRequestsAreBlockedAndTheFleetIsCalm(
            boolean blocked, double slowdown, double intervalMs, double quota) {
        PolicyFixture policies = new PolicyFixture(settings(100));
        policies.limits.adaptQuota(true, 5_000);
        assertThat(policies.limits.quota()).isCloseTo(0.13, within(TOLERANCE));
        policies.addSlowRuns(slowdown);
        policies.limits.adaptQuota(blocked, intervalMs);
        assertThat(policies.limits.quota()).isCloseTo(quota, within(TOLERANCE));
    }

    /**
     * Each of 20 front ends may use 3.12 threads on the four engines. Columns: front ends, threads in flight
     * of the request's class and of another class, fraction of the value that its class has, time in ms since
     * the last start of its class, whether the request is within the quota.
     */
    @DataProvider
    public Object[][] fleetQuotas() {
        return new Object[][] {
            {20, 0, 0, 0, 0, true},
            {20, 2, 0, 0, 0, true},
            {20, 3, 0, 0.5, 0, false},
            {20, 3, 0, 1, 0, false},
            {20, 0, 3, 0.5, 0, true},
            {20, 0, 3, 0.2, 300, false},
            {20, 0, 3, 0.2, 330, true},
            {20, 1, 3, 0.7, 0, true},
            {20, 1, 3, 0.6, 0, false},
            {2, 12, 0, 0, 0, true},
        };
    }

    @Test(dataProvider = "fleetQuotas")
    public void limitsAClassByItsValueBeyondTheFleetQuota(
            int frontEnds, int ofClass, int ofOther, double valueRatio, double sinceStartMs, boolean within) {
        SettingsBuilder settings = settings(frontEnds);
        settings.otherClasses.add(settings.requestClass());
        PolicyFixture policies = new PolicyFixture(settings);
        for (int id = 2; id <= 4; id++) {
            policies.listEngine(id);
        }
        Engine engine = policies.listEngine(1);
        policies.startAttempts(engine, ofClass);
        for (int attempt = 0; attempt < ofOther; attempt++) {
            policies.start(policies.admit(1, PolicyFixture.NO_KEY, 200, 0), engine);
        }
        ScheduledRequest request = policies.admit();
        request.requestClass().demand().setRatios(0, valueRatio);
        request.requestClass().recordAttemptStart(policies.context.nowMs());
        policies.advance(sinceStartMs);
        assertThat(policies.limits.withinFleetQuota(request, usable -> true)).isEqualTo(within);
    }

    @Test
    public void countsUsableEnginesOnly() {
        PolicyFixture policies = new PolicyFixture(settings(20));
        policies.listEngine(1);
        Engine busy = policies.listEngine(2);
        policies.startAttempts(busy, 3);
        assertThat(policies.limits.withinFleetQuota(policies.admit(), engine -> true))
                .isFalse();
        assertThat(policies.limits.withinFleetQuota(policies.admit(), engine -> engine != busy))
                .isTrue();
    }
}
