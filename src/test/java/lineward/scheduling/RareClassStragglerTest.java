package lineward.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that stragglers of a class with only a few requests per minute are relaunched. A straggler that is
 * never cancelled takes up the quota of its front end.
 */
public class RareClassStragglerTest {
    private static final long STRAGGLER_ID = 1000;
    private static final int USUAL_MS = 300;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 8}, {20, 30}, {100, 37}, {1024, 300}};
    }

    private static TestingScheduler schedulerAfterReports(int frontEnds, int engines, int reportCount) {
        TestingScheduler scheduler = FleetQuotaTest.schedulerInFleet(frontEnds, 0, engines);
        for (int id = 1; id <= 40; id++) {
            scheduler.requestArrives(id, 0, 0, 200, 5000).advance(200).attemptEnds(id, 0, AttemptOutcome.OK);
        }
        for (int id = 101; id <= 100 + reportCount; id++) {
            scheduler.requestArrives(id, 1, 0, 900, 15_000).advance(USUAL_MS);
            scheduler.attemptEnds(id, 0, AttemptOutcome.OK);
        }
        scheduler.requestArrives(STRAGGLER_ID, 1, 0, 900, 15_000);
        return scheduler;
    }

    private static List<SchedulerAction.CancelAttempt> stragglerCancels(TestingScheduler scheduler) {
        return scheduler.allCancels().stream()
                .filter(cancel -> cancel.requestId() == STRAGGLER_ID)
                .toList();
    }

    /**
     * Eight outcomes are too few for a survival curve, but a run that takes several times as long is still
     * cancelled, and its relaunch is not.
     */
    @Test(dataProvider = "fleets")
    public void stragglerOfARareClassIsRelaunchedElsewhere(int frontEnds, int engines) {
        TestingScheduler scheduler =
                schedulerAfterReports(frontEnds, engines, 8).advance(2 * USUAL_MS);
        assertEquals(stragglerCancels(scheduler).size(), 0, "a run of twice the usual time may be chance");
        scheduler.advance(7 * USUAL_MS);
        assertEquals(stragglerCancels(scheduler).size(), 1);
        scheduler.attemptEnds(STRAGGLER_ID, 0, AttemptOutcome.CANCELLED);
        List<Long> usedEngines = scheduler.allStarts().stream()
                .filter(start -> start.requestId() == STRAGGLER_ID)
                .map(SchedulerAction.StartAttempt::engine)
                .toList();
        assertEquals(usedEngines.size(), 2, "the straggler is relaunched at once");
        assertTrue(!usedEngines.get(0).equals(usedEngines.get(1)), "the relaunch uses another engine");
        scheduler.advance(20 * USUAL_MS);
        assertEquals(stragglerCancels(scheduler).size(), 1, "a slow relaunch is kept");
    }

    @Test(dataProvider = "fleets")
    public void nothingIsCancelledBeforeTheClassHasAUsualTime(int frontEnds, int engines) {
        assertEquals(
                stragglerCancels(schedulerAfterReports(frontEnds, engines, 3).advance(20 * USUAL_MS))
                        .size(),
                0);
    }
}
