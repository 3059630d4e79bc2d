package lineward.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A class of which a front sees a few a minute: its stragglers must not hold a part of the fleet. */
public class RareClassTest {
    private static final long STRAGGLER = 1000;
    private static final int USUAL_MS = 300;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 8}, {20, 30}, {100, 37}, {1024, 300}};
    }

    private static Scene afterReports(int fronts, int engines, int reports) {
        Scene s = FleetRoomTest.front(fronts, 0, engines);
        for (int id = 1; id <= 40; id++) {
            s.ask(id, 0, 0, 200, 5000).pass(200).verdict(id, 0, AttemptOutcome.OK);
        }
        for (int id = 101; id <= 100 + reports; id++) {
            s.ask(id, 1, 0, 900, 15_000).pass(USUAL_MS).verdict(id, 0, AttemptOutcome.OK);
        }
        s.ask(STRAGGLER, 1, 0, 900, 15_000);
        return s;
    }

    private static List<SchedulerAction.CancelAttempt> cuts(Scene s) {
        return s.all(SchedulerAction.CancelAttempt.class).stream()
                .filter(c -> c.request() == STRAGGLER)
                .toList();
    }

    /** Eight outcomes tell no curve, yet what has run far longer than they did is cut, once. */
    @Test(dataProvider = "fleets")
    public void aStragglerOfARareClassIsCutAndRunsElsewhere(int fronts, int engines) {
        Scene s = afterReports(fronts, engines, 8).pass(2 * USUAL_MS);
        assertEquals(cuts(s).size(), 0, "twice as long may be chance");
        s.pass(7 * USUAL_MS);
        assertEquals(cuts(s).size(), 1);
        s.verdict(STRAGGLER, 0, AttemptOutcome.CANCELLED);
        List<Long> engine = s.all(SchedulerAction.StartAttempt.class).stream()
                .filter(x -> x.request() == STRAGGLER)
                .map(SchedulerAction.StartAttempt::engine)
                .toList();
        assertEquals(engine.size(), 2, "sent again at once");
        assertTrue(!engine.get(0).equals(engine.get(1)), "elsewhere");
        s.pass(20 * USUAL_MS);
        assertEquals(cuts(s).size(), 1, "a rerun runs to its end");
    }

    @Test(dataProvider = "fleets")
    public void nothingIsCutBeforeTheClassHasAUsualTime(int fronts, int engines) {
        assertEquals(cuts(afterReports(fronts, engines, 3).pass(20 * USUAL_MS)).size(), 0);
    }
}
