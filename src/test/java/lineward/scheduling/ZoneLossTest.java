package lineward.scheduling;

import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A zone is lost for 5 s and returns cold, another is cut off meanwhile: no class is shut out for long. */
public class ZoneLossTest {
    private static final double OUTAGE_MS = 5000;
    private static final double DAY_MS = 30_000;
    private static final int BEGINS_S = 9;
    private static final int ENDS_S = 14;
    /** Warm again, and heard of again by all fronts, within this of the end of the outage. */
    private static final int BACK_S = 10;

    /** Fronts, engines, zones, whether the lost zone is the one that is cut off. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{4, 8, 2, 1}, {20, 20, 2, 0}, {93, 37, 4, 1}, {120, 20, 3, 1}, {93, 37, 2, 1}};
    }

    @Test(dataProvider = "fleets")
    public void eachClassIsServedThroughTheOutageAndAfterIt(int fronts, int engines, int zones, int cut) {
        for (int seed = 1; seed <= 2; seed++) {
            FleetDay day = new FleetDay(new FleetDay.Plan(
                            fronts,
                            engines,
                            zones,
                            0.65,
                            0.3,
                            0 /* lost */,
                            cut,
                            8 /* bad */,
                            OUTAGE_MS,
                            DAY_MS,
                            seed /* of the day */))
                    .play();
            for (int type = 0; type <= 1; type++) {
                String what = "class " + type + ", seed " + seed + ": ";
                double through = day.served(type, BEGINS_S, ENDS_S);
                assertTrue(through >= 0.3, what + through + " through the outage");
                double after = day.served(type, ENDS_S + BACK_S, (int) (DAY_MS / 1000));
                assertTrue(after >= 0.75, what + after + " from " + BACK_S + " s after it");
            }
            assertTrue(day.worstCold <= 1, "seed " + seed + ": cold budget used " + day.worstCold);
        }
    }
}
