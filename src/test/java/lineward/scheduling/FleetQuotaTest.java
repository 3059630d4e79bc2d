package lineward.scheduling;

import static lineward.scheduling.TestingScheduler.NO_COSTS;
import static lineward.scheduling.TestingScheduler.limits;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.rules;
import static lineward.scheduling.TestingScheduler.settings;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that front ends without shared load reports together start about as many attempts as the engines can
 * run.
 */
public class FleetQuotaTest {
    private static final int CORES = 8;
    private static final int THREADS = 3;
    /** Threads per core at saturation, times the factor by which the minimum quota exceeds an even one. */
    private static final double MAX_THREADS_PER_CORE = 1.5 * 1.3;

    private static RequestClass reportClass() {
        return new RequestClass(
                new RequestClass.Objective(3000, 2.5, 15000, 12, 0.4),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(false, false, THREADS));
    }

    static TestingScheduler schedulerInFleet(int frontEnds, int ordinal, int engines) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int id = 1; id <= engines; id++) {
            endpoints.add(new Endpoint(id, 0, 1, 0, EndpointState.READY, 0, 0));
        }
        return new TestingScheduler(new SchedulerSettings(
                        List.of(lookupClass(), reportClass()),
                        List.of(new EngineKind(CORES, 16000)),
                        new SchedulerSettings.FleetPosition(1, 0, frontEnds, ordinal),
                        limits(6),
                        rules(),
                        new SchedulerSettings.LoadReporting(List.of(), false),
                        new SchedulerSettings.Discovery(false, 0, false),
                        NO_COSTS,
                        new SchedulerSettings.TenantQuotas(List.of(), 1)))
                .receive(new SchedulerEvent.EndpointsChanged(true, endpoints));
    }

    private static int reportThreads(TestingScheduler scheduler) {
        return scheduler.allStarts().size() * THREADS;
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 8}, {4, 10}, {20, 30}, {100, 37}, {100, 80}};
    }

    @DataProvider
    public Object[][] largeFleets() {
        return new Object[][] {{20, 30}, {100, 37}, {100, 80}};
    }

    /** Without a fleet quota, each of a hundred front ends would start a report on every engine. */
    @Test(dataProvider = "fleets")
    public void burstOfReportsFillsTheFleetOnce(int frontEnds, int engines) {
        int threadCount = 0;
        for (int i = 0; i < frontEnds; i++) {
            TestingScheduler scheduler = schedulerInFleet(frontEnds, i, engines);
            for (int id = 1; id <= engines; id++) {
                scheduler.requestArrives(id, 1, 0, 9000, 15000);
            }
            scheduler.advance(200);
            assertTrue(reportThreads(scheduler) >= THREADS, "each front end starts a request");
            threadCount += reportThreads(scheduler);
        }
        // The quota may have grown by one step.
        double maxThreadsPerCore = MAX_THREADS_PER_CORE * Math.pow(frontEnds, 0.05);
        double maxThreads = maxThreadsPerCore * CORES * engines + THREADS * frontEnds;
        assertTrue(threadCount <= maxThreads, threadCount + " threads");
        assertTrue(threadCount >= CORES * engines / 2, "the fleet is used: " + threadCount + " threads");
    }

    /** A lookup starts although reports fill the quota: a class with nothing in flight may exceed it. */
    @Test(dataProvider = "largeFleets")
    public void lookupStartsAlthoughReportsFillTheQuota(int frontEnds, int engines) {
        TestingScheduler scheduler = schedulerInFleet(frontEnds, 0, engines);
        for (int id = 1; id <= 3 * engines; id++) {
            scheduler.requestArrives(id, 1, 0, 9000, 15000);
        }
        int startsBefore = scheduler.allStarts().size();
        scheduler.requestArrives(1000, 0, 0, 100, 5000);
        assertEquals(scheduler.allStarts().size(), startsBefore + 1);
    }

    /** A class may exceed a full quota only by its fraction of the value, not by a second quota. */
    @Test(dataProvider = "largeFleets")
    public void lookupsDoNotFillTheQuotaASecondTime(int frontEnds, int engines) {
        TestingScheduler scheduler = schedulerInFleet(frontEnds, 0, engines);
        for (int id = 1; id <= 3 * engines; id++) {
            scheduler.requestArrives(id, 1, 0, 9000, 15_000);
        }
        for (int id = 1; id <= 3 * engines; id++) {
            scheduler.requestArrives(1000 + id, 0, 0, 100, 5000);
        }
        double quota = MAX_THREADS_PER_CORE * CORES * engines / frontEnds;
        long lookups = scheduler.allStarts().stream()
                .filter(start -> start.requestId() > 1000)
                .count();
        long reports = scheduler.allStarts().size() - lookups;
        assertTrue(lookups >= 1 && reports >= 1, "both classes start");
        assertTrue(lookups + reports * THREADS <= quota * 1.3 + THREADS, lookups + " and " + reports);
    }

    /** A report must start although lookups in flight fill the quota and more lookups keep arriving. */
    @Test(dataProvider = "crowdedFleets")
    public void reportDoesNotStarveBehindLookups(int frontEnds, int engines) {
        TestingScheduler scheduler = schedulerInFleet(frontEnds, 0, engines);
        for (int id = 1; id <= 200; id++) {
            scheduler.requestArrives(id, 0, 0, 100, 5000);
        }
        scheduler.requestArrives(1000, 1, 0, 900, 15_000);
        for (int id = 201; id <= 300; id++) {
            scheduler.requestArrives(id, 0, 0, 100, 5000).advance(25);
        }
        assertTrue(scheduler.allStarts().stream().anyMatch(start -> start.requestId() == 1000));
    }

    @DataProvider
    public Object[][] crowdedFleets() {
        return new Object[][] {{20, 30}, {100, 37}, {120, 12}, {1024, 40}};
    }

    /** An engine that pages counts memory in use, not grants, so a large grant avoids a spill at no cost. */
    @Test
    public void grantIsMaximalOnEnginesThatPage() {
        for (MemoryShortageHandling shortage : MemoryShortageHandling.values()) {
            SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                    new SchedulerSettings.Capabilities(true, false, false, true, true, true, false),
                    new SchedulerSettings.AttemptLimits(4, 500, 0),
                    new SchedulerSettings.MemoryLimits(0.4, shortage));
            SchedulerSettings settings = settings(limits, rules(), reportClass());
            TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2);
            scheduler.requestArrives(1, 0);
            double granted = scheduler
                    .allActions(SchedulerAction.SetResourceLimits.class)
                    .get(0)
                    .grantMb();
            double expected = shortage == MemoryShortageHandling.PAGE ? 0.4 * 16_000 : 100 * 1.25;
            assertEquals(granted, expected, 1e-6, "grant with shortage " + shortage);
        }
    }

    /** Long-running reports must keep the quota from growing even if lookups run at their typical speed. */
    @Test
    public void quotaDoesNotGrowWhileReportsAreInFlight() {
        TestingScheduler scheduler = schedulerInFleet(20, 0, 30);
        for (int id = 1; id <= 40; id++) {
            scheduler.requestArrives(id, 0, 0, 200, 5000).advance(100).attemptEnds(id, 0, AttemptOutcome.OK);
        }
        for (int id = 101; id <= 140; id++) {
            scheduler.requestArrives(id, 1, 0, 900, 15000);
        }
        for (int id = 200; id <= 300; id++) {
            scheduler.requestArrives(id, 0, 0, 200, 5000).advance(100).attemptEnds(id, 0, AttemptOutcome.OK);
        }
        long reports = scheduler.allStarts().stream()
                .map(SchedulerAction.StartAttempt::requestId)
                .filter(id -> id > 100 && id <= 140)
                .distinct()
                .count();
        assertTrue(reports >= 1, "some reports start");
        double maxThreads = MAX_THREADS_PER_CORE * CORES * 30 / 20 * 1.5;
        assertTrue(reports * THREADS <= maxThreads, reports + " reports in flight");
    }
}
