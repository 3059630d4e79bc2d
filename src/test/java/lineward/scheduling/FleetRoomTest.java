package lineward.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What all fronts together send, none of which sees the others, stays near what the engines can run. */
public class FleetRoomTest {
    private static final int CORES = 8;
    private static final int THREADS = 3;
    /** What a full fleet runs at: threads a core, and what a front may take over an even part. */
    private static final double FULL = 1.5 * 1.3;

    private static RequestClass report() {
        return new RequestClass(
                new RequestClass.Objective(3000, 2.5, 15000, 12, 0.4),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.Workload(false, false, THREADS));
    }

    static Scene front(int fronts, int ordinal, int engines) {
        List<Endpoint> list = new ArrayList<>();
        for (int id = 1; id <= engines; id++) {
            list.add(new Endpoint(id, 0, 1, 0, EndpointState.READY, 0, 0));
        }
        return new Scene(new SchedulerSettings(
                        List.of(Scene.look(), report()),
                        List.of(new EngineKind(CORES, 16000)),
                        new SchedulerSettings.FleetPosition(1, 0, fronts, ordinal),
                        Scene.limits(6),
                        Scene.rules(),
                        new SchedulerSettings.Reporting(List.of(), false),
                        new SchedulerSettings.Discovery(false, 0, false),
                        Scene.FREE,
                        new SchedulerSettings.Quotas(List.of(), 1)))
                .tell(new SchedulerEvent.EndpointsChanged(true, list));
    }

    private static int threads(Scene s) {
        return s.all(SchedulerAction.StartAttempt.class).size() * THREADS;
    }

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 8}, {4, 10}, {20, 30}, {100, 37}, {100, 80}};
    }

    @DataProvider
    public Object[][] large() {
        return new Object[][] {{20, 30}, {100, 37}, {100, 80}};
    }

    /** Without one bound over all engines a hundred fronts put a report of each on every engine. */
    @Test(dataProvider = "fleets")
    public void aRushOfReportsFillsTheFleetOnceOver(int fronts, int engines) {
        int out = 0;
        for (int i = 0; i < fronts; i++) {
            Scene s = front(fronts, i, engines);
            for (int id = 1; id <= engines; id++) {
                s.ask(id, 1, 0, 9000, 15000);
            }
            s.pass(200);
            assertTrue(threads(s) >= THREADS, "each front sends something");
            out += threads(s);
        }
        double once = FULL * Math.pow(fronts, 0.05); // the share may have grown once by now
        assertTrue(out <= once * CORES * engines + THREADS * fronts, out + " threads");
        assertTrue(out >= CORES * engines / 2, "the fleet is used: " + out + " threads");
    }

    /** Reports that fill this front's part keep no look-ups waiting: those are worth more for their work. */
    @Test(dataProvider = "large")
    public void lookUpsPassAFullPart(int fronts, int engines) {
        Scene s = front(fronts, 0, engines);
        for (int id = 1; id <= 3 * engines; id++) {
            s.ask(id, 1, 0, 9000, 15000);
        }
        int before = s.all(SchedulerAction.StartAttempt.class).size();
        s.ask(1000, 0, 0, 100, 5000);
        assertEquals(s.all(SchedulerAction.StartAttempt.class).size(), before + 1);
    }

    /** Past a full part the class worth most goes on within its share; it does not fill the part again. */
    @Test(dataProvider = "large")
    public void lookUpsDoNotFillThePartASecondTime(int fronts, int engines) {
        Scene s = front(fronts, 0, engines);
        for (int id = 1; id <= 3 * engines; id++) {
            s.ask(id, 1, 0, 9000, 15_000);
        }
        for (int id = 1; id <= 3 * engines; id++) {
            s.ask(1000 + id, 0, 0, 100, 5000);
        }
        double part = FULL * CORES * engines / fronts;
        long lookUps = s.all(SchedulerAction.StartAttempt.class).stream()
                .filter(x -> x.request() > 1000)
                .count();
        long reports = s.all(SchedulerAction.StartAttempt.class).size() - lookUps;
        assertTrue(lookUps >= 1 && reports >= 1, "both go out");
        assertTrue(lookUps + reports * THREADS <= part * 1.3 + THREADS, lookUps + " and " + reports);
    }

    /** Look-ups that stay out hold the whole part, and more come: a report goes out all the same. */
    @Test(dataProvider = "crowded")
    public void noClassWaitsBehindAnotherForGood(int fronts, int engines) {
        Scene s = front(fronts, 0, engines);
        for (int id = 1; id <= 200; id++) {
            s.ask(id, 0, 0, 100, 5000);
        }
        s.ask(1000, 1, 0, 900, 15_000);
        for (int id = 201; id <= 300; id++) {
            s.ask(id, 0, 0, 100, 5000).pass(25);
        }
        assertTrue(s.all(SchedulerAction.StartAttempt.class).stream().anyMatch(x -> x.request() == 1000));
    }

    @DataProvider
    public Object[][] crowded() {
        return new Object[][] {{20, 30}, {100, 37}, {120, 12}, {1024, 40}};
    }

    /** Where engines page, memory counts as used up to the need alone, and a spill costs the most. */
    @Test
    public void whereEnginesPageAllThatAnEngineGivesIsGranted() {
        for (MemoryShortage when : MemoryShortage.values()) {
            SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                    new SchedulerSettings.Capabilities(true, false, false, true, true, true, false),
                    new SchedulerSettings.AttemptLimits(4, 500, 0),
                    new SchedulerSettings.MemoryLimits(0.4, when));
            Scene s = new Scene(Scene.settings(limits, Scene.rules(), report())).engines(1, 2);
            s.ask(1, 0);
            double granted =
                    s.all(SchedulerAction.SetResourceLimits.class).get(0).grantMb();
            assertEquals(granted, when == MemoryShortage.PAGE ? 0.4 * 16_000 : 100 * 1.25, 1e-6, "" + when);
        }
    }

    /** Look-ups as quick as ever hide nothing: reports that stay out keep the part from growing. */
    @Test
    public void aPartDoesNotGrowWhileReportsStayOut() {
        Scene s = front(20, 0, 30);
        for (int id = 1; id <= 40; id++) {
            s.ask(id, 0, 0, 200, 5000).pass(100).verdict(id, 0, AttemptOutcome.OK);
        }
        for (int id = 101; id <= 140; id++) {
            s.ask(id, 1, 0, 900, 15000);
        }
        for (int id = 200; id <= 300; id++) {
            s.ask(id, 0, 0, 200, 5000).pass(100).verdict(id, 0, AttemptOutcome.OK);
        }
        long reports = s.all(SchedulerAction.StartAttempt.class).stream()
                .map(SchedulerAction.StartAttempt::request)
                .filter(id -> id > 100 && id <= 140)
                .distinct()
                .count();
        assertTrue(reports >= 1, "some go out");
        assertTrue(reports * THREADS <= FULL * CORES * 30 / 20 * 1.5, reports + " reports out");
    }
}
