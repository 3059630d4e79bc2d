package lineward.scheduling;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that lookups and reports are served during and after an outage of 5 s, in which one zone fails and
 * one, possibly the same, is partitioned from the others.
 */
public class ZoneLossTest {
    private static final double OUTAGE_MS = 5000;
    private static final double DAY_MS = 30_000;
    private static final int OUTAGE_START_S = 9;
    private static final int OUTAGE_END_S = 14;
    /** Time after the outage in which engines warm up and all front ends are notified of their starts. */
    private static final int RECOVERY_S = 10;

    /** Number of front ends, engines and zones, index of the partitioned zone; zone 0 fails. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{4, 8, 2, 1}, {20, 20, 2, 0}, {93, 37, 4, 1}, {120, 20, 3, 1}, {93, 37, 2, 1}};
    }

    @Test(dataProvider = "fleets")
    public void eachClassIsServedDuringAndAfterTheZoneOutage(
            int frontEnds, int engines, int zones, int partitionedZone) {
        for (int seed = 1; seed <= 2; seed++) {
            FleetDay day = new FleetDay(new FleetDay.Plan(
                            frontEnds,
                            engines,
                            zones,
                            0.65,
                            0.3,
                            0 /* failed zone */,
                            partitionedZone,
                            8 /* one in 8 engines is slow */,
                            OUTAGE_MS,
                            DAY_MS,
                            seed /* of the simulated day */))
                    .run();
            for (int index = 0; index <= 1; index++) {
                String message = "class " + index + ", seed " + seed + ": served ";
                double duringOutage = day.servedRequestFraction(index, OUTAGE_START_S, OUTAGE_END_S);
                assertTrue(duringOutage >= 0.3, message + duringOutage + " during the outage");
                double afterRecovery =
                        day.servedRequestFraction(index, OUTAGE_END_S + RECOVERY_S, (int) (DAY_MS / 1000));
                String when = " from " + RECOVERY_S + " s after the outage";
                assertTrue(afterRecovery >= 0.75, message + afterRecovery + when);
            }
            String message = "seed " + seed + ": slow-start budget used " + day.maxSlowStartBudgetRatio;
            assertTrue(day.maxSlowStartBudgetRatio <= 1, message);
        }
    }
}
