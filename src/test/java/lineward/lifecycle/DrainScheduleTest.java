package lineward.lifecycle;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What each schedule decides at each time of a drain. */
public class DrainScheduleTest {
    /**
     * Schedule, time; whether idle connections are closed, the probability of each close, and whether
     * requests are rejected.
     */
    @DataProvider
    public Object[][] times() {
        return new Object[][] {
            {DrainSchedule.OPERATOR_DRAIN, 299, false, 5.0 / 1201, false},
            {DrainSchedule.OPERATOR_DRAIN, 300, true, 5.0 / 1200, false},
            {DrainSchedule.OPERATOR_DRAIN, 1495, true, 1.0, false},
            {DrainSchedule.OPERATOR_DRAIN, 1799, true, 1.0, false},
            {DrainSchedule.OPERATOR_DRAIN, 1800, true, 1.0, true},
            {DrainSchedule.HOT_RESTART, 299, false, 5.0 / 101, false},
            {DrainSchedule.HOT_RESTART, 300, true, 5.0 / 100, false},
            {DrainSchedule.HOT_RESTART, 395, true, 1.0, false},
            {DrainSchedule.HOT_RESTART, 1800, true, 1.0, false}
        };
    }

    @Test(dataProvider = "times")
    public void scheduleDecidesByTime(
            DrainSchedule schedule, int elapsedMs, boolean closes, double probability, boolean rejects) {
        assertEquals(schedule.closesConnections(elapsedMs), closes);
        assertEquals(schedule.closeProbability(elapsedMs, 5), probability);
        assertEquals(schedule.rejectsRequests(elapsedMs), rejects);
    }
}
