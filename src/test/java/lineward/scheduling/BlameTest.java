package lineward.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Whose fault an error or a reset is: the request's, the connection's or the engine's. */
public class BlameTest {
    private static long suspicions(Scene s) {
        return s.all(SchedulerAction.LogMessage.class).stream()
                .filter(l -> l.text().contains("ejected"))
                .count();
    }

    @Test
    public void requestsThatNoEngineCanRunMakeNoneSuspectedAndEndSoon() {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2, 3, 4);
        for (int id = 1; id <= 20; id++) {
            s.ask(id, 0);
            int attempts = 0;
            while (s.last(SchedulerAction.Reject.class).isEmpty()) {
                assertEquals(s.last(SchedulerAction.StartAttempt.class).size(), 1);
                s.verdict(id, attempts++, AttemptOutcome.ERROR);
            }
            assertEquals(attempts, 3);
        }
        assertEquals(suspicions(s), 0);
    }

    @Test
    public void anEngineThatFailsWhatOthersServeIsHardlyUsed() {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2, 3, 4);
        int there = 0;
        for (int id = 1; id <= 40; id++) {
            s.ask(id, 0);
            int attempt = 0;
            while (s.sentTo() == 1) {
                there++;
                s.verdict(id, attempt++, AttemptOutcome.ERROR);
            }
            s.verdict(id, attempt, AttemptOutcome.OK);
        }
        assertTrue(there <= 3, there + " of 40");
    }

    @DataProvider
    public Object[][] fronts() {
        return new Object[][] {{2}, {14}, {100}};
    }

    /** It always looks idle, never fails three in a row, and would draw more than its part. */
    @Test(dataProvider = "fronts")
    public void anEngineThatFailsSomeAtOnceDrawsLessThanItsPart(int fronts) {
        Scene s = new Scene(Scene.settings(fronts, Scene.look())).engines(1, 2, 3, 4);
        int requests = 300;
        int there = 0;
        for (int id = 1; id <= requests; id++) {
            s.ask(id, 0);
            int attempt = 0;
            while (s.sentTo() == 1 && there++ % 2 == 0) {
                s.verdict(id, attempt++, AttemptOutcome.ERROR);
            }
            s.pass(50);
            s.verdict(id, attempt, AttemptOutcome.OK);
        }
        assertEquals(suspicions(s), 0);
        assertTrue(there < requests / 6, there + " of " + requests + " at one of four");
    }

    /** What an engine that just broke off is sent at once: less, should it have come back cold. */
    private static int sentAfterResets(int resets) {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1);
        s.now += 2000;
        for (int id = 1; id <= resets; id++) {
            s.ask(id, 0);
        }
        for (int id = 1; id <= resets; id++) {
            s.verdict(id, 0, AttemptOutcome.RESET).tell(new SchedulerEvent.RequestCancelled(id));
        }
        int before = s.all(SchedulerAction.StartAttempt.class).size();
        for (int id = 101; id <= 110; id++) {
            s.ask(id, 0, 0, 2000, 5000);
        }
        return s.all(SchedulerAction.StartAttempt.class).size() - before;
    }

    @Test
    public void aSingleResetTellsNothingOfTheEngineAndTwoDo() {
        assertEquals(sentAfterResets(1), sentAfterResets(0));
        assertTrue(sentAfterResets(2) < sentAfterResets(1));
    }
}
