package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import lineward.scheduling.LoadReportField;
import lineward.scheduling.RequestClass;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.RequestClassState;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Engines have 8 cores, so a request of one thread on an idle engine scores (1 + 0.3 x 8) / 8 = 0.425. */
public class EngineLoadScoreTest {
    private static final double TOLERANCE = 1e-9;
    private static final double IDLE_SCORE = 0.425;
    private static final double THREAD_SCORE = 0.125;
    private static final double NOISE_SCALE = 0.01;

    /**
     * Columns: zone of the engine, threads in flight there, memory estimate of the request in MB, expected
     * score.
     */
    @DataProvider
    public Object[][] loads() {
        return new Object[][] {
            {0, 0, 0, IDLE_SCORE},
            {0, 6, 0, IDLE_SCORE + 6 * THREAD_SCORE},
            {1, 0, 0, IDLE_SCORE + 0.02},
            {0, 0, 5_120, 1.2 * 6_400 / 16_000},
            {0, 6, 5_120, IDLE_SCORE + 6 * THREAD_SCORE},
        };
    }

    @Test(dataProvider = "loads")
    public void scoresThreadsMemoryAndZone(int zone, int inFlight, double memoryMb, double score) {
        PolicyFixture policies = new PolicyFixture(new SettingsBuilder());
        Engine engine = policies.listEngine(1, zone, 0);
        policies.startAttempts(engine, inFlight);
        ScheduledRequest request = policies.admit(0, PolicyFixture.NO_KEY, 200, memoryMb);
        assertThat(policies.loadScore.score(request, engine)).isCloseTo(score, within(TOLERANCE));
    }

    /** Columns: threads and memory in the load report, age of the report in ms, expected score. */
    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {4, 0.1, 0, IDLE_SCORE + 4 * THREAD_SCORE},
            {4, 0.9, 0, 0.9 + 0.3},
            {4, 0.9, 1_500, IDLE_SCORE},
        };
    }

    @Test(dataProvider = "reports")
    public void scoresAFreshLoadReport(double threads, double memoryInUse, double ageMs, double score) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.reportFields = List.of(LoadReportField.IN_FLIGHT, LoadReportField.MEMORY);
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1);
        policies.reports.apply(engine, new double[] {threads, memoryInUse});
        policies.advance(ageMs);
        assertThat(policies.loadScore.score(policies.admit(), engine)).isCloseTo(score, within(TOLERANCE));
    }

    /**
     * Columns: whether requests of the class wait for loads, whether the load in flight uses the same table
     * group, expected load added to the score.
     */
    @DataProvider
    public Object[][] conflicts() {
        return new Object[][] {{true, true, 1.5}, {true, false, 0}, {false, true, 0}};
    }

    @Test(dataProvider = "conflicts")
    public void addsLoadForAConflictOfTableGroups(boolean waitsForLoads, boolean sameGroup, double added) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.workload = new RequestClass.ExecutionProfile(true, false, 1);
        RequestClass loads = settings.requestClass();
        settings.workload = new RequestClass.ExecutionProfile(false, waitsForLoads, 1);
        settings.otherClasses.add(loads);
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngine(1);
        policies.start(policies.admitWithTableGroup(1, 5), engine);
        ScheduledRequest request = policies.admitWithTableGroup(0, sameGroup ? 5 : 6);
        double score = policies.loadScore.score(request, engine);
        assertThat(score).isCloseTo(IDLE_SCORE + THREAD_SCORE + added, within(TOLERANCE));
    }

    /** Columns: front ends, work of the request in ms, whether a warming engine scores as free. */
    @DataProvider
    public Object[][] warmingEngines() {
        return new Object[][] {{8, 200, true}, {4, 200, false}, {8, 980, true}, {8, 990, false}};
    }

    @Test(dataProvider = "warmingEngines")
    public void usesASlotAtAWarmingEngineIfInTime(int frontEnds, double workMs, boolean free) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.frontEnds = frontEnds;
        settings.objective = new RequestClass.Objective(2_000, 1, 5_000, 1, 0);
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngineStartedAt(1, PolicyFixture.START_MS);
        ScheduledRequest request = policies.admit(PolicyFixture.NO_KEY, workMs);
        assertThat(policies.loadScore.score(request, engine) == 0).isEqualTo(free);
    }

    /** Columns: front ends, expected scale of the random noise relative to that of a single front end. */
    @DataProvider
    public Object[][] noiseScales() {
        return new Object[][] {{1, 1}, {4, 1}, {8, 16}, {100, (0.01 + 0.3 * 0.96) / NOISE_SCALE}};
    }

    @Test(dataProvider = "noiseScales")
    public void scalesTheNoiseByTheUnseenLoad(int frontEnds, double expectedScale) {
        SettingsBuilder settings = new SettingsBuilder();
        double alone = drawNoise(new PolicyFixture(settings));
        settings.frontEnds = frontEnds;
        double scale = drawNoise(new PolicyFixture(settings)) / alone;
        assertThat(scale).isCloseTo(expectedScale, within(TOLERANCE));
    }

    /**
     * Columns: fraction of all work that belongs to a class restricted to one of two equal engines, fraction
     * of that engine's cores that counts as free for other classes.
     */
    @DataProvider
    public Object[][] restrictedClasses() {
        return new Object[][] {{0, 1}, {0.25, 0.5}, {0.4, 0.2}, {0.9, 0.05}};
    }

    @Test(dataProvider = "restrictedClasses")
    public void leavesCoresToClassesWithFewerEngines(double workRatio, double freeRatio) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.otherClasses.add(settings.requestClass());
        double allFree = drawNoise(policiesOfTwoEngines(settings, 0));
        double restricted = drawNoise(policiesOfTwoEngines(settings, workRatio));
        assertThat(restricted - allFree).isCloseTo(NOISE_SCALE * Math.log(freeRatio), within(TOLERANCE));
    }

    private static PolicyFixture policiesOfTwoEngines(SettingsBuilder settings, double workRatio) {
        PolicyFixture policies = new PolicyFixture(settings);
        policies.listEngine(1);
        policies.listEngine(2);
        policies.context.requestClass(0).demand().setReachableCores(16);
        RequestClassState restricted = policies.context.requestClass(1);
        restricted.demand().setReachableCores(8);
        restricted.demand().setRatios(workRatio, 0);
        return policies;
    }

    private static double drawNoise(PolicyFixture policies) {
        return policies.loadScore.drawNoise(policies.context.requestClass(0), policies.listEngine(1));
    }
}
