package lineward.scheduling.decision;

import static org.assertj.core.api.Assertions.assertThat;

import lineward.scheduling.RequestClass;
import lineward.scheduling.state.Engine;
import lineward.scheduling.state.ScheduledRequest;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An engine of 8 cores gets 0.4 x 3 x 0.33 x 8 x 1,000 = 3,168 ms of work in its first window. */
public class SlowStartTest {
    private static final double WINDOW_MS = 1_000;
    private static final double WARMUP_MS = 15_000;
    private static final double UNLIMITED_WORK = 0;

    /**
     * Sets a deadline so short that the prior mean work of the class, 100 ms, is less than any estimate here.
     */
    private static SettingsBuilder settings(int frontEnds) {
        SettingsBuilder settings = new SettingsBuilder();
        settings.objective = new RequestClass.Objective(1_000, 1, 800, 1, 0);
        settings.frontEnds = frontEnds;
        return settings;
    }

    private static boolean allows(PolicyFixture policies, Engine engine, double workMs) {
        return policies.slowStart.allows(policies.admit(PolicyFixture.NO_KEY, workMs), engine);
    }

    /**
     * Columns: front ends, overload factor, time in ms since the engine's start, work of the request in ms,
     * whether it is allowed.
     */
    @DataProvider
    public Object[][] budgets() {
        return new Object[][] {
            {1, 3, 0, 3_160, true},
            {1, 3, 0, 3_170, false},
            {4, 3, 0, 790, true},
            {4, 3, 0, 795, false},
            {1, 3, 8_500, 5_575, true},
            {1, 3, 8_500, 5_585, false},
            {1, 3, WARMUP_MS - 1, 50_000, false},
            {1, 3, WARMUP_MS, 50_000, true},
            {1, UNLIMITED_WORK, 0, 50_000, true},
        };
    }

    @Test(dataProvider = "budgets")
    public void allowsWorkWithinTheBudgetOfAFrontEnd(
            int frontEnds, double overloadFactor, double ageMs, double workMs, boolean allowed) {
        SettingsBuilder settings = settings(frontEnds);
        settings.overloadFactor = overloadFactor;
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngineStartedAt(1, PolicyFixture.START_MS);
        policies.advance(ageMs);
        assertThat(allows(policies, engine, workMs)).isEqualTo(allowed);
    }

    /** Columns: time in ms since 2,000 ms of work were sent, whether 1,500 ms more are allowed. */
    @DataProvider
    public Object[][] sentWork() {
        return new Object[][] {{0, false}, {WINDOW_MS, false}, {WINDOW_MS + 1, true}};
    }

    @Test(dataProvider = "sentWork")
    public void countsWorkSentWithinTheWindow(double agoMs, boolean allowed) {
        PolicyFixture policies = new PolicyFixture(settings(1));
        Engine engine = policies.listEngineStartedAt(1, PolicyFixture.START_MS);
        ScheduledRequest sent = policies.admit(PolicyFixture.NO_KEY, 2_000);
        policies.start(sent, engine);
        policies.advance(agoMs);
        assertThat(allows(policies, engine, 1_500)).isEqualTo(allowed);
    }

    /**
     * Columns: ordinal among eight front ends, time in ms since the start of engine 8, work in ms, whether it
     * is allowed.
     */
    @DataProvider
    public Object[][] slots() {
        return new Object[][] {
            {0, 0, 390, true},
            {3, 0, 390, true},
            {4, 0, 390, false},
            {7, 0, 390, false},
            {0, WINDOW_MS, 390, false},
            {4, WINDOW_MS, 390, true},
            {0, 2 * WINDOW_MS, 390, true},
            {0, 0, 400, false},
        };
    }

    @Test(dataProvider = "slots")
    public void assignsEachSlotToFourFrontEnds(int ordinal, double ageMs, double workMs, boolean allowed) {
        SettingsBuilder settings = settings(8);
        settings.ordinal = ordinal;
        PolicyFixture policies = new PolicyFixture(settings);
        Engine engine = policies.listEngineStartedAt(8, PolicyFixture.START_MS);
        policies.advance(ageMs);
        assertThat(policies.slowStart.usesSlots()).isTrue();
        assertThat(allows(policies, engine, workMs)).isEqualTo(allowed);
    }

    /**
     * Columns: time in ms from the start of the engine to the start of this process, time in ms since the
     * start of this process, whether it joined a hot restart, whether the request is allowed.
     */
    @DataProvider
    public Object[][] processStarts() {
        return new Object[][] {
            {500, 0, false, false},
            {500, WINDOW_MS - 1, false, false},
            {500, WINDOW_MS, false, true},
            {0, 0, false, true},
            {500, 0, true, true},
        };
    }

    @Test(dataProvider = "processStarts")
    public void skipsWarmingEnginesJustAfterAProcessStart(
            double earlierMs, double sinceMs, boolean hotRestart, boolean allowed) {
        PolicyFixture policies = new PolicyFixture(settings(1));
        if (hotRestart) {
            policies.slowStart.changeQuota(0.5);
        }
        Engine engine = policies.listEngineStartedAt(1, PolicyFixture.START_MS - earlierMs);
        policies.advance(sinceMs);
        assertThat(allows(policies, engine, PolicyFixture.WORK_MS)).isEqualTo(allowed);
    }

    /**
     * Columns: quota before and after a change, time in ms since the change, work of the request in ms,
     * whether it is allowed on an engine that has just started.
     */
    @DataProvider
    public Object[][] quotas() {
        return new Object[][] {
            {1, 0.5, 0, 1_580, true},
            {1, 0.5, 0, 1_590, false},
            {0.5, 1, 0, 1_590, false},
            {0.5, 1, WINDOW_MS - 1, 1_590, false},
            {0.5, 1, WINDOW_MS, 3_160, true},
            {0.5, 1, WINDOW_MS, 3_170, false},
        };
    }

    @Test(dataProvider = "quotas")
    public void delaysALargerQuota(double before, double after, double sinceMs, double workMs, boolean may) {
        PolicyFixture policies = new PolicyFixture(settings(1));
        policies.slowStart.changeQuota(before);
        policies.advance(2 * WINDOW_MS);
        policies.slowStart.changeQuota(after);
        policies.advance(sinceMs);
        Engine engine = policies.listEngineStartedAt(1, policies.context.nowMs());
        assertThat(allows(policies, engine, workMs)).isEqualTo(may);
    }
}
