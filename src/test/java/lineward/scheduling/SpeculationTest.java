package lineward.scheduling;

import static lineward.scheduling.TestingScheduler.loadClass;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.rules;
import static lineward.scheduling.TestingScheduler.settings;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lineward.scheduling.estimation.SurvivalCurve;
import org.assertj.core.api.Assertions;
import org.testng.annotations.Test;

public class SpeculationTest {

    /**
     * Run times are relative to the usual one. Of 100 runs, 80 complete at 1.05, and 20 are cancelled at 2.1,
     * so that their run times are censored. The curve must still show that a fifth of the runs take longer
     * than 1, which it would not if censored runs were dropped.
     */
    @Test
    public void curveIncludesCensoredRuns() {
        SurvivalCurve censored = new SurvivalCurve(100, -4, 5);
        SurvivalCurve dropped = new SurvivalCurve(100, -4, 5);
        SurvivalCurve completed = new SurvivalCurve(100, -4, 5);
        for (int i = 0; i < 100; i++) {
            boolean straggler = i % 5 == 0;
            censored.add(straggler ? 2.1 : 1.05, !straggler);
            completed.add(straggler ? 2.1 : 1.05, true);
            if (!straggler) {
                dropped.add(1.05, true);
            }
        }
        censored.recompute(List.of());
        dropped.recompute(List.of());
        completed.recompute(List.of());
        int past1 = bin(censored, 1.2);
        assertThat(censored.survivalPast(past1)).isCloseTo(0.2, Assertions.within(1e-9));
        assertThat(dropped.survivalPast(past1)).isZero();
        assertThat(completed.survivalPast(bin(completed, 2.4))).isZero();
    }

    /**
     * Of 100 runs, 90 take about 1 and 10 take 10. The area under the curve is the mean run time, 1.9. If
     * runs are cancelled at about 1.1 and relaunched, the mean load is little more than 1.
     */
    @Test
    public void areaUnderTheCurveIsTheMeanRunTime() {
        SurvivalCurve curve = new SurvivalCurve(100, -4, 5);
        for (int i = 0; i < 100; i++) {
            curve.add(i % 10 == 0 ? 10 : 1.05, true);
        }
        double all = curve.recompute(List.of());
        assertThat(all).isBetween(1.8, 2.1);
        int bin = bin(curve, 1.1);
        assertThat(curve.areaUpTo(bin) + 1 * curve.survivalPast(bin)).isBetween(1.05, 1.3);
    }

    private static int bin(SurvivalCurve curve, double time) {
        int i = 0;
        while (curve.upperEdge(i) < time) {
            i++;
        }
        return i;
    }

    /** Completes runs of about 200 ms one after another. One in ten is a straggler, longer by the factor. */
    private static TestingScheduler schedulerAfterRuns(double stragglerFactor) {
        SchedulerSettings settings = settings(lookupClass(), loadClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
        for (int i = 0; i < 80; i++) {
            double runMs = i % 10 == 5 ? 200 * stragglerFactor : 190 + i % 3 * 10;
            scheduler.requestArrives(i, 0);
            scheduler.advance(Math.min(runMs, 4000));
            if (scheduler.lastCancels().isEmpty()) {
                scheduler.attemptEnds(i, 0, AttemptOutcome.OK);
            } else {
                scheduler.attemptEnds(i, 0, AttemptOutcome.CANCELLED);
                scheduler.advance(200);
                scheduler.attemptEnds(i, 1, AttemptOutcome.OK);
            }
        }
        return scheduler;
    }

    @Test
    public void stragglerIsCancelledAndRelaunchedOnAnotherEngine() {
        TestingScheduler scheduler = schedulerAfterRuns(12);
        scheduler.requestArrives(1000, 0);
        long first = scheduler.lastStartedEngine();
        scheduler.allActions.clear();
        double startedMs = scheduler.nowMs;
        for (int i = 0; i < 40 && scheduler.allCancels().isEmpty(); i++) {
            scheduler.advance(25);
        }
        // Run times are relative to the usual one; m is the mean run time of relaunches. With a timeout t
        // above 1, one run in ten is cancelled at t and relaunched, so the expected load is 1 + 0.1 (t - 1) +
        // 0.1 m, which rises with t. With a timeout below 1, nearly all runs are relaunched. The least load
        // is at the upper edge of the bin that contains 1, so the timeout is at most 2^0.2 x 200 ms. The
        // cancellation follows at the next sweep.
        assertThat(scheduler.nowMs - startedMs).isBetween(200.0, 275.0);
        assertThat(scheduler.allCancels()).hasSize(1);
        assertThat(scheduler.allStarts()).isEmpty();
        scheduler.attemptEnds(1000, 0, AttemptOutcome.CANCELLED);
        assertThat(scheduler.lastStartedEngine()).isPositive().isNotEqualTo(first);
        scheduler.allActions.clear();
        scheduler.advance(900);
        assertThat(scheduler.allCancels()).as("a slow relaunch is kept").isEmpty();
    }

    @Test
    public void answerAfterTheCancelIsFinal() {
        TestingScheduler scheduler = schedulerAfterRuns(12);
        scheduler.requestArrives(1000, 0).advance(1500);
        assertThat(scheduler.lastCancels()).hasSize(1);
        scheduler.attemptEnds(1000, 0, AttemptOutcome.OK);
        assertThat(scheduler.lastStarts()).isEmpty();
        assertThat(scheduler.advance(1000).allActions(SchedulerAction.Fail.class))
                .isEmpty();
    }

    @Test
    public void nothingIsCancelledIfNoTimeoutSavesLoad() {
        TestingScheduler scheduler = schedulerAfterRuns(1);
        scheduler.allActions.clear();
        scheduler.requestArrives(1000, 0).advance(700);
        assertThat(scheduler.allCancels()).isEmpty();
    }

    @Test
    public void nothingIsCancelledBeforeEnoughOutcomes() {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass())).listEngines(1, 2, 3);
        scheduler.requestArrives(1, 0).advance(850);
        assertThat(scheduler.allCancels()).isEmpty();
    }

    @Test
    public void nonIdempotentRequestIsNotCancelledForBeingSlow() {
        TestingScheduler scheduler = schedulerAfterRuns(12);
        scheduler.allActions.clear();
        scheduler.requestArrives(1000, 1, 3, 200, 20000).advance(8000);
        assertThat(scheduler.allCancels()).isEmpty();
    }

    @Test
    public void nothingIsCancelledWithoutTimeForARelaunch() {
        TestingScheduler scheduler = schedulerAfterRuns(12);
        scheduler.allActions.clear();
        scheduler.requestArrives(1000, 0, 0, 200, 400).advance(390);
        assertThat(scheduler.allCancels()).isEmpty();
    }

    @Test
    public void attemptNearlyDoneIsNotCancelled() {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(4, 500, 1000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.WAIT));
        SchedulerSettings settings = settings(limits, rules(), lookupClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
        for (int i = 0; i < 60; i++) {
            scheduler.requestArrives(i, 0).advance(i % 10 == 5 ? 900 : 200);
            scheduler.attemptEnds(i, 0, AttemptOutcome.OK);
        }
        scheduler.requestArrives(1000, 0).advance(200);
        scheduler.receive(new SchedulerEvent.AttemptProgress(1000, 0, ProgressKind.RATIO_DONE, 0.9));
        scheduler.allActions.clear();
        scheduler.advance(300);
        assertThat(scheduler.allCancels()).isEmpty();
    }

    /** A run whose answer has no value any more would use capacity that other requests need. */
    @Test
    public void runWhoseLateAnswerHasNoValueIsGivenUp() {
        SchedulerSettings settings = settings(lookupClass(), loadClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1);
        scheduler.requestArrives(1, 0).requestArrives(2, 1, 3, 200, 20000).advance(1300);
        assertThat(scheduler.allCancels()).isEmpty();
        scheduler.advance(300);
        assertThat(scheduler.allCancels())
                .extracting(SchedulerAction.CancelAttempt::requestId)
                .containsExactly(1L);
        assertThat(scheduler.allActions(SchedulerAction.Reject.class))
                .extracting(SchedulerAction.Reject::requestId)
                .containsExactly(1L);
    }

    /**
     * Progress reports show that the engine is alive, so it is not ejected. If the reported ratio does not
     * rise, the relaunch would never end, so it must be cancelled.
     */
    @Test
    public void relaunchWithoutProgressIsCancelled() {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(4, 500, 1000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.WAIT));
        RequestClass longObjective = new RequestClass(
                new RequestClass.Objective(30_000, 1, 60_000, 1, 0.5),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(false, false, 1));
        for (boolean progresses : new boolean[] {true, false}) {
            SchedulerSettings settings = settings(limits, rules(), longObjective);
            TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
            scheduler.requestArrives(1, 0, 0, 1000, 60_000).advance(2000);
            assertThat(scheduler.lastCancels()).as("the first engine is silent").hasSize(1);
            scheduler.attemptEnds(1, 0, AttemptOutcome.CANCELLED);
            scheduler.allActions.clear();
            for (int i = 1; i < 10; i++) {
                double ratioDone = progresses ? Math.min(0.9, i * 0.3) : 0.3;
                scheduler.advance(1000);
                ProgressKind kind = ProgressKind.RATIO_DONE;
                SchedulerEvent report = new SchedulerEvent.AttemptProgress(1, 1, kind, ratioDone);
                scheduler.receive(report);
            }
            scheduler.advance(100);
            assertThat(scheduler.allCancels()).hasSize(progresses ? 0 : 1);
        }
    }
}
