package lineward.scheduling;

import static org.testng.Assert.assertTrue;

import java.lang.management.ManagementFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that decisions use a small fraction of a core, even with 1,024 engines. */
public class DecisionCostTest {
    private static final int QUEUED_REQUESTS = 200;
    private static final double MEASURED_SECONDS = 5;
    /** Maximum CPU time of a busy front end in a second, in ms; on the benchmark's machines it has 400. */
    private static final double MAX_CPU_MS_PER_SECOND = 200;

    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{100, 80}, {120, 300}, {1024, 300}, {1024, 1024}};
    }

    /** Queued requests are considered again at every event, here at forty timer events per second. */
    @Test(dataProvider = "fleets")
    public void queuedRequestsCostAFractionOfACore(int frontEnds, int engines) {
        TestingScheduler scheduler = FleetQuotaTest.schedulerInFleet(frontEnds, 0, engines);
        for (int id = 1; id <= engines + QUEUED_REQUESTS; id++) {
            scheduler.requestArrives(id, 1, 0, 9000, 1e6);
        }
        scheduler.advance(1000);
        long startNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        scheduler.advance(MEASURED_SECONDS * 1000);
        long endNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        double cpuMsPerSecond = (endNanos - startNanos) / 1e6 / MEASURED_SECONDS;
        String fleet = frontEnds + " front ends, " + engines + " engines";
        System.out.printf("%d queued: %.1f ms per second, %s%n", QUEUED_REQUESTS, cpuMsPerSecond, fleet);
        assertTrue(cpuMsPerSecond < MAX_CPU_MS_PER_SECOND, cpuMsPerSecond + " ms per second");
    }
}
