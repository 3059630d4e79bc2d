package lineward.scheduling;

import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.readyEngine;
import static lineward.scheduling.TestingScheduler.settings;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import lineward.scheduling.SchedulerEvent.EndpointsChanged;
import lineward.scheduling.SchedulerEvent.MaintenanceChanged;
import lineward.scheduling.SchedulerEvent.QuotaChanged;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that an engine under maintenance gets no attempts, and that a released one is in slow start. */
public class MaintenanceTest {
    private static Endpoint endpoint(EndpointState state, double startedAtMs) {
        return new Endpoint(1, 0, 1, startedAtMs, state, 0, 1);
    }

    /** Updates from service discovery while engine 1 is under maintenance. */
    @DataProvider
    public Object[][] endpointUpdates() {
        EndpointsChanged gone = new EndpointsChanged(false, List.of(endpoint(EndpointState.GONE, 0)));
        EndpointsChanged unlisted = new EndpointsChanged(true, List.of(readyEngine(2)));
        EndpointsChanged relisted = new EndpointsChanged(false, List.of(endpoint(EndpointState.READY, 0)));
        EndpointsChanged restarted = new EndpointsChanged(false, List.of(endpoint(EndpointState.READY, 900)));
        EndpointsChanged fullSnapshot = new EndpointsChanged(true, List.of(readyEngine(1), readyEngine(2)));
        return new Object[][] {
            {List.of()},
            {List.of(gone)},
            {List.of(gone, relisted)},
            {List.of(unlisted, fullSnapshot)},
            {List.of(restarted)},
            {List.of(fullSnapshot)},
            {List.of(gone, restarted, unlisted, relisted)}
        };
    }

    @Test(dataProvider = "endpointUpdates")
    public void serviceDiscoveryDoesNotEndMaintenance(List<EndpointsChanged> endpointUpdates) {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass())).listEngines(1, 2);
        scheduler.receive(new MaintenanceChanged(1, true, scheduler.nowMs));
        for (EndpointsChanged change : endpointUpdates) {
            scheduler.advance(2000);
            scheduler.receive(change);
        }
        for (int i = 0; i < 40; i++) {
            scheduler.requestArrives(10 + i, 0);
            scheduler.attemptEnds(10 + i, 0, i % 5 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
            scheduler.advance(25);
        }
        assertTrue(scheduler.allStarts().size() >= 40);
        assertTrue(scheduler.allStarts().stream().noneMatch(start -> start.engine() == 1));
    }

    @Test
    public void maintenanceAppliesToEnginesListedLater() {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass()));
        scheduler.receive(new MaintenanceChanged(1, true, scheduler.nowMs)).advance(100);
        assertEquals(scheduler.excludedEngineCount(), 0);
        scheduler.listEngines(1).requestArrives(5, 0).advance(1000);
        assertEquals(scheduler.allStarts().size(), 0);
        assertEquals(scheduler.excludedEngineCount(), 1);
        scheduler.receive(new MaintenanceChanged(1, false, scheduler.nowMs));
        assertEquals(scheduler.lastStartedEngine(), 1, "engine of the queued request after the release");
        assertEquals(scheduler.excludedEngineCount(), 0);
    }

    @Test
    public void releasedEngineIsUsedAtOnceWithinItsSlowStartBudget() {
        SchedulerSettings settings = settings(lookupClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
        scheduler.receive(new MaintenanceChanged(1, true, scheduler.nowMs)).advance(30_000);
        scheduler.receive(new MaintenanceChanged(1, false, scheduler.nowMs));
        int engine1Starts = 0;
        for (int i = 0; i < 60; i++) {
            scheduler.requestArrives(10 + i, 0);
            engine1Starts += scheduler.lastStartedEngine() == 1 ? 1 : 0;
            assertTrue(i > 0 || engine1Starts == 1, "the first request must go to the released engine");
            if (i == 0) {
                scheduler.attemptEnds(10, 0, AttemptOutcome.OK);
            }
        }
        // Budget ratio, overload factor, initial capacity ratio, cores, window in ms.
        double budgetMs = 0.4 * 3 * 0.33 * 8 * 1000;
        assertTrue(engine1Starts * 200 <= budgetMs, engine1Starts + " requests of 200 ms at once");
    }

    /** Age of the engine in ms, expected number of requests of 1,000 ms that it gets immediately. */
    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{0, 3}, {1000, 3}, {6000, 4}, {12_000, 6}};
    }

    @Test(dataProvider = "ages")
    public void slowStartBudgetGrowsAfterAnAnnouncedStart(int ageMs, int expectedStarts) {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass())).listEngines();
        scheduler.nowMs += 20_000;
        Endpoint started = endpoint(EndpointState.READY, scheduler.nowMs - ageMs);
        scheduler.receive(new EndpointsChanged(true, List.of(started)));
        for (int i = 0; i < 40; i++) {
            scheduler.requestArrives(10 + i, 0, 0, 1000, 5000);
        }
        assertEquals(scheduler.allStarts().size(), expectedStarts);
    }

    @Test
    public void twoProcessesShareTheSlowStartBudget() {
        TestingScheduler alone = new TestingScheduler(settings(lookupClass()));
        TestingScheduler sharing = new TestingScheduler(settings(lookupClass()));
        sharing.receive(new QuotaChanged(0.5));
        long[] started = new long[2];
        for (int process = 0; process < 2; process++) {
            TestingScheduler scheduler = process == 0 ? alone : sharing;
            scheduler.listEngines(1).advance(5000).receive(new MaintenanceChanged(1, false, scheduler.nowMs));
            for (int i = 0; i < 40; i++) {
                scheduler.requestArrives(10 + i, 0, 0, 1000, 5000);
            }
            started[process] = scheduler.allStarts().size();
        }
        boolean halved = started[1] > 0 && started[1] <= started[0] / 2 + 1 && started[0] > started[1];
        assertTrue(halved, "alone " + started[0] + ", as one of two " + started[1]);
    }
}
