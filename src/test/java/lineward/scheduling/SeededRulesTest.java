package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.RequestArrived;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Days of fleets of several sizes with loads that must not run twice and few further attempts. */
public class SeededRulesTest {
    private static final double LOADS = 0.06;
    private static final int DAY_MS = 15_000;

    /** Fronts, engines, zones, further attempts in 10 s beside a fifth of what is taken. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 7, 2, 5}, {3, 8, 2, 5}, {14, 60, 2, 5}, {100, 20, 4, 1}};
    }

    /** A zone is lost under load, another cut off: the checker fails at the first broken rule. */
    @Test(dataProvider = "fleets")
    public void nothingRunsTwiceAndRetriesStayInTheirBudget(int fronts, int engines, int zones, int free) {
        for (int seed = 1; seed <= (fronts < 10 ? 3 : 1); seed++) {
            FleetDay day = new FleetDay(new FleetDay.Plan(
                            fronts, engines, zones, 0.85, 0.3, 0, 1, 4, 5000, DAY_MS, seed, LOADS, free))
                    .play();
            assertTrue(
                    day.outcomes.keySet().stream().anyMatch(o -> o.matches("(RESET|TIMEOUT) 2")),
                    "some loads may have run: " + day.outcomes);
            double served = day.served(2, 0, DAY_MS / 1000);
            assertTrue(served > 0.3, "loads served: " + served);
        }
    }

    @DataProvider
    public Object[][] faults() {
        SchedulerAction send = new SchedulerAction.StartAttempt(1, 7, 0);
        return new Object[][] {
            {"two out", 0, List.of(send, send)},
            {"unsafe again", 0, List.of(send, RESET, send)},
            {"unsafe refused", 0, List.of(send, TIMEOUT, new SchedulerAction.Reject(1, 0))},
            {"unsafe refused while out", 0, List.of(send, new SchedulerAction.Reject(1, 0))},
            {"two answers", 0, List.of(new SchedulerAction.Reject(1, 0), new SchedulerAction.Fail(1))},
            {"behind its end", 0, List.of(new SchedulerAction.Fail(1), send)},
            {"over its ration", 1, List.of(send, REJECTED, send, REJECTED, send)}
        };
    }

    /** Each fault planted is found, and the same without the last step is not one. */
    @Test(dataProvider = "faults")
    public void theCheckerFindsAPlantedFault(String what, int type, List<Object> steps) {
        assertThrows(AssertionError.class, () -> play(type, steps));
        play(type, steps.subList(0, steps.size() - 1));
    }

    private static void play(int type, List<Object> steps) {
        SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(15_000, 0.33, 3, 1000),
                0,
                new SchedulerSettings.RetryBudget(10_000, 1, 0.2));
        SchedulerSettings settings = Scene.settings(Scene.limits(4), rules, Scene.load(), Scene.look());
        RuleChecker checker = new RuleChecker(settings);
        checker.heard(0, new RequestArrived(1, type, 0, 5000, 0, 0, 0, false, 0));
        int attempt = 0;
        for (Object step : steps) {
            if (step instanceof AttemptOutcome o) {
                checker.heard(1, new AttemptEnded(1, attempt++, o, false, 0, 0, new double[0]));
            } else {
                checker.did(1, (SchedulerAction) step);
            }
        }
    }
}
