package lineward.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import lineward.scheduling.SchedulerEvent.EndpointsChanged;
import lineward.scheduling.SchedulerEvent.MaintenanceChanged;
import lineward.scheduling.SchedulerEvent.QuotaChanged;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** An engine held out by order gets nothing, and is used again when called back. */
public class HeldOutTest {
    private static Endpoint listed(EndpointState condition, double upSince) {
        return new Endpoint(1, 0, 1, upSince, condition, 0, 1);
    }

    /** What the list may say of an engine that is held out. */
    @DataProvider
    public Object[][] lists() {
        EndpointsChanged gone = new EndpointsChanged(false, List.of(listed(EndpointState.GONE, 0)));
        EndpointsChanged missing = new EndpointsChanged(true, List.of(Scene.engine(2)));
        EndpointsChanged back = new EndpointsChanged(false, List.of(listed(EndpointState.READY, 0)));
        EndpointsChanged anew = new EndpointsChanged(false, List.of(listed(EndpointState.READY, 900)));
        EndpointsChanged whole = new EndpointsChanged(true, List.of(Scene.engine(1), Scene.engine(2)));
        return new Object[][] {
            {List.of()},
            {List.of(gone)},
            {List.of(gone, back)},
            {List.of(missing, whole)},
            {List.of(anew)},
            {List.of(whole)},
            {List.of(gone, anew, missing, back)}
        };
    }

    @Test(dataProvider = "lists")
    public void noListLetsItInAgain(List<EndpointsChanged> lists) {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2);
        s.tell(new MaintenanceChanged(1, true, s.now));
        for (EndpointsChanged change : lists) {
            s.pass(2000);
            s.tell(change);
        }
        for (int i = 0; i < 40; i++) {
            s.ask(10 + i, 0);
            s.verdict(10 + i, 0, i % 5 == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK);
            s.pass(25);
        }
        assertTrue(s.all(SchedulerAction.StartAttempt.class).size() >= 40);
        assertTrue(s.all(SchedulerAction.StartAttempt.class).stream().noneMatch(send -> send.engine() == 1));
    }

    @Test
    public void anEngineTheListHasNotYetIsHeldOutWhenItComes() {
        Scene s = new Scene(Scene.settings(Scene.look()));
        s.tell(new MaintenanceChanged(1, true, s.now)).pass(100);
        assertEquals(s.control.excludedEngines(), 0);
        s.engines(1).ask(5, 0).pass(1000);
        assertEquals(s.all(SchedulerAction.StartAttempt.class).size(), 0);
        assertEquals(s.control.excludedEngines(), 1);
        s.tell(new MaintenanceChanged(1, false, s.now));
        assertEquals(s.sentTo(), 1, "what is held goes out with the call back");
        assertEquals(s.control.excludedEngines(), 0);
    }

    @Test
    public void calledBackItIsUsedAtOnceAsAColdEngineThoughOthersAreFree() {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2, 3, 4);
        s.tell(new MaintenanceChanged(1, true, s.now)).pass(30_000);
        s.tell(new MaintenanceChanged(1, false, s.now));
        int there = 0;
        for (int i = 0; i < 60; i++) {
            s.ask(10 + i, 0);
            there += s.sentTo() == 1 ? 1 : 0;
            assertTrue(i > 0 || there == 1, "the first goes there");
            if (i == 0) {
                s.verdict(10, 0, AttemptOutcome.OK);
            }
        }
        double budget = 0.4 * 3 * 0.33 * 8 * 1000;
        assertTrue(there * 200 <= budget, there + " requests of 200 ms at once");
    }

    /** How long ago the engine started, and how many requests of 1,000 ms it gets at once. */
    @DataProvider
    public Object[][] ages() {
        return new Object[][] {{0, 3}, {1000, 3}, {6000, 4}, {12_000, 6}};
    }

    @Test(dataProvider = "ages")
    public void theColdBudgetGrowsAsAnEngineWarmsWhoseStartWasTold(int age, int sent) {
        Scene s = new Scene(Scene.settings(Scene.look())).engines();
        s.now += 20_000;
        s.tell(new EndpointsChanged(true, List.of(listed(EndpointState.READY, s.now - age))));
        for (int i = 0; i < 40; i++) {
            s.ask(10 + i, 0, 0, 1000, 5000);
        }
        assertEquals(s.all(SchedulerAction.StartAttempt.class).size(), sent);
    }

    @Test
    public void twoProcessesShareTheColdBudget() {
        Scene alone = new Scene(Scene.settings(Scene.look()));
        Scene both = new Scene(Scene.settings(Scene.look()));
        both.tell(new QuotaChanged(0.5));
        long[] sent = new long[2];
        for (int k = 0; k < 2; k++) {
            Scene s = k == 0 ? alone : both;
            s.engines(1).pass(5000).tell(new MaintenanceChanged(1, false, s.now));
            for (int i = 0; i < 40; i++) {
                s.ask(10 + i, 0, 0, 1000, 5000);
            }
            sent[k] = s.all(SchedulerAction.StartAttempt.class).size();
        }
        assertTrue(sent[1] > 0 && sent[1] <= sent[0] / 2 + 1 && sent[0] > sent[1], sent[0] + " " + sent[1]);
    }
}
