package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;
import static lineward.scheduling.TestingScheduler.limits;
import static lineward.scheduling.TestingScheduler.loadClass;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.settings;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.RequestArrived;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that fleets of several sizes keep the rules, with non-idempotent loads and a small retry budget. */
public class SeededRulesTest {
    private static final double LOAD_REQUEST_RATIO = 0.06;
    private static final int ARRIVAL_PERIOD_MS = 15_000;

    /** Front ends, engines, zones, and retries allowed in 10 s besides a fifth of the admitted requests. */
    @DataProvider
    public Object[][] fleets() {
        return new Object[][] {{2, 7, 2, 5}, {3, 8, 2, 5}, {14, 60, 2, 5}, {100, 20, 4, 1}};
    }

    /** A zone fails and another one is partitioned; the simulation throws at the first violated rule. */
    @Test(dataProvider = "fleets")
    public void loadsRunAtMostOnceAndRetriesAreLimited(int frontEnds, int engines, int zones, int budget) {
        for (int seed = 1; seed <= (frontEnds < 10 ? 3 : 1); seed++) {
            FleetDay day = new FleetDay(new FleetDay.Plan(
                            frontEnds,
                            engines,
                            zones,
                            0.85,
                            0.3,
                            0,
                            1,
                            4,
                            5000,
                            ARRIVAL_PERIOD_MS,
                            seed,
                            LOAD_REQUEST_RATIO,
                            budget))
                    .run();
            assertTrue(
                    day.outcomes.keySet().stream().anyMatch(outcome -> outcome.matches("(RESET|TIMEOUT) 2")),
                    "some loads may have run: " + day.outcomes);
            double servedRatio = day.servedRequestFraction(2, 0, ARRIVAL_PERIOD_MS / 1000);
            assertTrue(servedRatio > 0.3, "loads served: " + servedRatio);
        }
    }

    @DataProvider
    public Object[][] faults() {
        SchedulerAction start = new SchedulerAction.StartAttempt(1, 7, 0);
        return new Object[][] {
            {"two attempts in flight", 0, List.of(start, start)},
            {"non-idempotent retried", 0, List.of(start, RESET, start)},
            {"non-idempotent rejected", 0, List.of(start, TIMEOUT, new SchedulerAction.Reject(1, 0))},
            {"non-idempotent rejected in flight", 0, List.of(start, new SchedulerAction.Reject(1, 0))},
            {"two final answers", 0, List.of(new SchedulerAction.Reject(1, 0), new SchedulerAction.Fail(1))},
            {"attempt after the final answer", 0, List.of(new SchedulerAction.Fail(1), start)},
            {"retry over its budget", 1, List.of(start, REJECTED, start, REJECTED, start)}
        };
    }

    /** The checker detects each injected violation, and accepts the same steps without the last one. */
    @Test(dataProvider = "faults")
    public void checkerDetectsAnInjectedViolation(String violation, int classIndex, List<Object> steps) {
        assertThrows(AssertionError.class, () -> check(classIndex, steps));
        check(classIndex, steps.subList(0, steps.size() - 1));
    }

    private static void check(int classIndex, List<Object> steps) {
        SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(15_000, 0.33, 3, 1000),
                0,
                new SchedulerSettings.RetryBudget(10_000, 1, 0.2));
        SchedulerSettings settings = settings(limits(4), rules, loadClass(), lookupClass());
        RuleChecker checker = new RuleChecker(settings);
        checker.onEvent(0, new RequestArrived(1, classIndex, 0, 5000, 0, 0, 0, false, 0));
        int attempt = 0;
        for (Object step : steps) {
            if (step instanceof AttemptOutcome outcome) {
                checker.onEvent(1, new AttemptEnded(1, attempt++, outcome, false, 0, 0, new double[0]));
            } else {
                checker.onAction(1, (SchedulerAction) step);
            }
        }
    }
}
