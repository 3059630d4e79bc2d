package lineward.scheduling;

import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.settings;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests which errors and resets count against an engine: not those for which the request or a single
 * connection may be at fault.
 */
public class ErrorAttributionTest {
    private static long ejectionCount(TestingScheduler scheduler) {
        return scheduler.allActions(SchedulerAction.LogMessage.class).stream()
                .filter(log -> log.text().contains("ejected"))
                .count();
    }

    @Test
    public void requestsThatFailOnEveryEngineEjectNone() {
        SchedulerSettings settings = settings(lookupClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
        for (int id = 1; id <= 20; id++) {
            scheduler.requestArrives(id, 0);
            int attempts = 0;
            while (scheduler.lastActions(SchedulerAction.Reject.class).isEmpty()) {
                assertEquals(scheduler.lastStarts().size(), 1);
                scheduler.attemptEnds(id, attempts++, AttemptOutcome.ERROR);
            }
            assertEquals(attempts, 3);
        }
        assertEquals(ejectionCount(scheduler), 0);
    }

    @Test
    public void engineThatFailsWhatOthersAnswerIsRarelyUsed() {
        SchedulerSettings settings = settings(lookupClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
        int attemptsAtFaultyEngine = 0;
        for (int id = 1; id <= 40; id++) {
            scheduler.requestArrives(id, 0);
            int attempt = 0;
            while (scheduler.lastStartedEngine() == 1) {
                attemptsAtFaultyEngine++;
                scheduler.attemptEnds(id, attempt++, AttemptOutcome.ERROR);
            }
            scheduler.attemptEnds(id, attempt, AttemptOutcome.OK);
        }
        assertTrue(attemptsAtFaultyEngine <= 3, attemptsAtFaultyEngine + " attempts at the faulty engine");
    }

    @DataProvider
    public Object[][] frontEnds() {
        return new Object[][] {{2}, {14}, {100}};
    }

    /**
     * The engine fails every other attempt at once, so it looks idle, but it is not ejected, since it never
     * fails three times in a row. Its error ratio must keep requests away from it.
     */
    @Test(dataProvider = "frontEnds")
    public void engineThatFailsHalfOfItsRequestsGetsLessThanAnEvenShare(int frontEnds) {
        SchedulerSettings settings = settings(frontEnds, lookupClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
        int requests = 300;
        int attemptsAtFaultyEngine = 0;
        for (int id = 1; id <= requests; id++) {
            scheduler.requestArrives(id, 0);
            int attempt = 0;
            while (scheduler.lastStartedEngine() == 1 && attemptsAtFaultyEngine++ % 2 == 0) {
                scheduler.attemptEnds(id, attempt++, AttemptOutcome.ERROR);
            }
            scheduler.advance(50);
            scheduler.attemptEnds(id, attempt, AttemptOutcome.OK);
        }
        assertEquals(ejectionCount(scheduler), 0);
        String message = attemptsAtFaultyEngine + " of " + requests + " at one of four engines";
        assertTrue(attemptsAtFaultyEngine < requests / 6, message);
    }

    /**
     * Returns how many of ten requests start at once after the resets: fewer if the engine counts as
     * restarted and is in slow start.
     */
    private static int startCountAfterResets(int resets) {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass())).listEngines(1);
        scheduler.nowMs += 2000;
        for (int id = 1; id <= resets; id++) {
            scheduler.requestArrives(id, 0);
        }
        for (int id = 1; id <= resets; id++) {
            scheduler.attemptEnds(id, 0, AttemptOutcome.RESET);
            scheduler.receive(new SchedulerEvent.RequestCancelled(id));
        }
        int before = scheduler.allStarts().size();
        for (int id = 101; id <= 110; id++) {
            scheduler.requestArrives(id, 0, 0, 2000, 5000);
        }
        return scheduler.allStarts().size() - before;
    }

    @Test
    public void twoResetsCountAsARestartAndOneDoesNot() {
        assertEquals(startCountAfterResets(1), startCountAfterResets(0));
        assertTrue(startCountAfterResets(2) < startCountAfterResets(1));
    }
}
