package lineward.scheduling;

import static org.testng.Assert.assertTrue;

import java.lang.management.ManagementFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What a decision costs stays a small part of a core, with 1,024 engines too. */
public class DecisionCostTest {
    private static final int HELD = 200;
    private static final double SECONDS = 5;
    /** Processor time for a second of a busy front, in ms; the bench's machines give a front 400. */
    private static final double MOST_MS = 200;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{100, 80}, {120, 300}, {1024, 300}, {1024, 1024}};
    }

    /** Reports that find no room are looked at again with every event: here forty events a second. */
    @Test(dataProvider = "fleets")
    public void whatIsHeldCostsAPartOfACore(int fronts, int engines) {
        Scene s = FleetRoomTest.front(fronts, 0, engines);
        for (int id = 1; id <= engines + HELD; id++) {
            s.ask(id, 1, 0, 9000, 1e6);
        }
        s.pass(1000);
        long before = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        s.pass(SECONDS * 1000);
        double ms = (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - before) / 1e6 / SECONDS;
        System.out.printf("%d queued: %.1f ms at %d fronts, %d engines%n", HELD, ms, fronts, engines);
        assertTrue(ms < MOST_MS, ms + " ms a second");
    }
}
