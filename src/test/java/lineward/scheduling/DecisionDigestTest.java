package lineward.scheduling;

import static lineward.scheduling.DeduplicationScope.ALL;
import static lineward.scheduling.DeduplicationScope.CELL;
import static lineward.scheduling.DeduplicationScope.ZONE;
import static lineward.scheduling.Idempotence.BY_KEY;
import static lineward.scheduling.Idempotence.IDEMPOTENT;
import static lineward.scheduling.Idempotence.NON_IDEMPOTENT;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Compares digests of all actions in seeded simulations with recorded ones. A digest changes if any decision,
 * the order of the decisions or a random draw changes; a change that alters decisions on purpose records new
 * digests. They are valid on x86-64: on other processors, Java's mathematical intrinsics may give different
 * results.
 */
public class DecisionDigestTest {
    private static final int ENGINES = 9;
    private static final int MIN_ACTIONS = 1_000;

    private enum Site {
        PLAIN,
        REPORTING,
        STRICT
    }

    @DataProvider
    public Object[][] days() {
        return new Object[][] {
            {Site.PLAIN, 2, 1, "b3a9243237db4807"},
            {Site.PLAIN, 14, 2, "c24cb3a5f081a43d"},
            {Site.PLAIN, 100, 3, "a969577b7c227aa4"},
            {Site.REPORTING, 2, 4, "4972cd1db8c1ab41"},
            {Site.REPORTING, 14, 5, "cb7e60480bbf4254"},
            {Site.REPORTING, 100, 6, "6fa3fde34f7fa07e"},
            {Site.STRICT, 2, 7, "36b35d8ea3b44e42"},
            {Site.STRICT, 14, 8, "d62a40e97890ec62"},
            {Site.STRICT, 100, 9, "ada89684cc213cc2"},
            {Site.PLAIN, 3, 10, "91c03e5ce0ab5cf1"},
            {Site.REPORTING, 4, 11, "d2cfcadf3de70a6f"},
            {Site.STRICT, 1, 12, "f712dbe516dd42ad"},
        };
    }

    @Test(dataProvider = "days")
    public void decisionsMatchTheRecordedDigest(Site site, int frontEnds, long seed, String expectedDigest) {
        SeededSimulation simulation = new SeededSimulation(settings(site, frontEnds), ENGINES, seed).run();
        assertTrue(simulation.actionCount() > MIN_ACTIONS, "only " + simulation.actionCount() + " actions");
        assertEquals(simulation.digest(), expectedDigest);
    }

    private static SchedulerSettings settings(Site site, int frontEnds) {
        List<LoadReportField> report = site == Site.REPORTING
                ? List.of(LoadReportField.IN_FLIGHT, LoadReportField.MEMORY, LoadReportField.LATENCY)
                : List.of();
        return new SchedulerSettings(
                classes(),
                List.of(new EngineKind(4, 8_000), new EngineKind(8, 16_000), new EngineKind(6, 0)),
                new SchedulerSettings.FleetPosition(3, 1, frontEnds, frontEnds / 2),
                limits(site),
                rules(site),
                new SchedulerSettings.LoadReporting(report, false),
                new SchedulerSettings.Discovery(site == Site.STRICT, 5_000, false),
                new SchedulerSettings.MessageCosts(0.001, 0.0001),
                new SchedulerSettings.TenantQuotas(List.of(), 0.2));
    }

    private static List<RequestClass> classes() {
        return List.of(
                requestClass(IDEMPOTENT, ALL, 0, false, null, null, false, true, 1),
                requestClass(NON_IDEMPOTENT, ALL, 0, true, null, null, true, false, 2),
                requestClass(BY_KEY, ALL, 900, false, null, List.of(0, 1), false, false, 1),
                requestClass(BY_KEY, ZONE, 4_000, true, null, null, false, false, 2),
                requestClass(BY_KEY, CELL, 2_000, false, List.of(0, 2), null, false, true, 1),
                requestClass(IDEMPOTENT, ALL, 0, false, List.of(1), null, true, false, 4));
    }

    private static RequestClass requestClass(
            Idempotence idempotence,
            DeduplicationScope scope,
            double keyTtlMs,
            boolean inOrder,
            List<Integer> kinds,
            List<Integer> zones,
            boolean loadsTableGroup,
            boolean waitsForLoads,
            int threads) {
        return new RequestClass(
                new RequestClass.Objective(900, 1.5, 5_000, threads, loadsTableGroup ? 0.4 : 0),
                new RequestClass.Repeatability(idempotence, scope, keyTtlMs, inOrder),
                new RequestClass.Placement(kinds, zones),
                new RequestClass.ExecutionProfile(loadsTableGroup, waitsForLoads, threads));
    }

    private static SchedulerSettings.Limits limits(Site site) {
        boolean reporting = site == Site.REPORTING;
        boolean strict = site == Site.STRICT;
        return new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(
                        true, reporting, false, !strict, !strict, !strict, reporting /* gossip */),
                new SchedulerSettings.AttemptLimits(strict ? 3 : 4, 400, strict ? 0 : 400),
                new SchedulerSettings.MemoryLimits(
                        0.4, strict ? MemoryShortageHandling.PAGE : MemoryShortageHandling.WAIT));
    }

    private static SchedulerSettings.Rules rules(Site site) {
        boolean strict = site == Site.STRICT;
        return new SchedulerSettings.Rules(
                1_000,
                new SchedulerSettings.SlowStartRule(6_000, 0.3, strict ? 2 : 4, 1_000),
                400,
                new SchedulerSettings.RetryBudget(strict ? 4_000 : 0, 3, 0.15));
    }
}
