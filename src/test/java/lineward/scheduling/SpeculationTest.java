package lineward.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import lineward.scheduling.estimation.SurvivalCurve;
import org.assertj.core.api.Assertions;
import org.testng.annotations.Test;

public class SpeculationTest {

    /** 80 runs of 1 and 20 cut at 2: those cut leave the set at risk, so a fifth survives past 2. */
    @Test
    public void censoredRunsKeepTheTail() {
        SurvivalCurve cut = new SurvivalCurve(100, -4, 5);
        SurvivalCurve dropped = new SurvivalCurve(100, -4, 5);
        SurvivalCurve completed = new SurvivalCurve(100, -4, 5);
        for (int i = 0; i < 100; i++) {
            boolean straggler = i % 5 == 0;
            cut.add(straggler ? 2.1 : 1.05, !straggler);
            completed.add(straggler ? 2.1 : 1.05, true);
            if (!straggler) {
                dropped.add(1.05, true);
            }
        }
        cut.recompute(List.of());
        dropped.recompute(List.of());
        completed.recompute(List.of());
        int past1 = bin(cut, 1.2);
        assertThat(cut.survivalPast(past1)).isCloseTo(0.2, Assertions.within(1e-9));
        assertThat(dropped.survivalPast(past1)).isZero();
        assertThat(completed.survivalPast(bin(completed, 2.4))).isZero();
    }

    /** 90 runs of 1 and 10 of 10: up to 1.2 the area is near 1,
     * a fifth of a bin over; never cutting takes 1.9. */
    @Test
    public void areasAreThoseOfTheCurve() {
        SurvivalCurve s = new SurvivalCurve(100, -4, 5);
        for (int i = 0; i < 100; i++) {
            s.add(i % 10 == 0 ? 10 : 1.05, true);
        }
        double all = s.recompute(List.of());
        assertThat(all).isBetween(1.8, 2.1);
        int b = bin(s, 1.1);
        assertThat(s.areaUpTo(b) + 1 * s.survivalPast(b)).isBetween(1.05, 1.3);
    }

    private static int bin(SurvivalCurve s, double time) {
        int i = 0;
        while (s.upperEdge(i) < time) {
            i++;
        }
        return i;
    }

    /** Runs one after another: times of the given mix, one straggler in ten where stretch is above 1. */
    private static Scene learned(double stretch) {
        Scene s = new Scene(Scene.settings(Scene.look(), Scene.load())).engines(1, 2, 3, 4);
        for (int i = 0; i < 80; i++) {
            double runs = i % 10 == 5 ? 200 * stretch : 190 + i % 3 * 10;
            s.ask(i, 0);
            s.pass(Math.min(runs, 4000));
            if (s.last(SchedulerAction.CancelAttempt.class).isEmpty()) {
                s.verdict(i, 0, AttemptOutcome.OK);
            } else {
                s.verdict(i, 0, AttemptOutcome.CANCELLED);
                s.pass(200);
                s.verdict(i, 1, AttemptOutcome.OK);
            }
        }
        return s;
    }

    @Test
    public void aStragglerIsCutAndRelaunchedOnAnotherEngineOnceItsVerdictIsIn() {
        Scene s = learned(12);
        s.ask(1000, 0);
        long first = s.sentTo();
        s.all.clear();
        double sent = s.now;
        for (int i = 0; i < 40 && s.all(SchedulerAction.CancelAttempt.class).isEmpty(); i++) {
            s.pass(25);
        }
        // By hand: past 1 the load is 1 + 0.1 (tau - 1) + 0.1 m and rises; below 1 nearly all rerun. So tau
        // is the upper edge of the bin that holds 1, at most 2^0.2 x 200 ms; the cut comes at the next tick.
        assertThat(s.now - sent).isBetween(200.0, 275.0);
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).hasSize(1);
        assertThat(s.all(SchedulerAction.StartAttempt.class)).isEmpty();
        s.verdict(1000, 0, AttemptOutcome.CANCELLED);
        assertThat(s.sentTo()).isPositive().isNotEqualTo(first);
        s.all.clear();
        s.pass(900);
        assertThat(s.all(SchedulerAction.CancelAttempt.class))
                .as("a rerun is left to finish")
                .isEmpty();
    }

    @Test
    public void anAnswerThatOvertakesTheCancelIsTheAnswer() {
        Scene s = learned(12);
        s.ask(1000, 0).pass(1500);
        assertThat(s.last(SchedulerAction.CancelAttempt.class)).hasSize(1);
        s.verdict(1000, 0, AttemptOutcome.OK);
        assertThat(s.last(SchedulerAction.StartAttempt.class)).isEmpty();
        assertThat(s.pass(1000).all(SchedulerAction.Fail.class)).isEmpty();
    }

    @Test
    public void nothingIsCutWhereNoTauBeatsNeverCutting() {
        Scene s = learned(1);
        s.all.clear();
        s.ask(1000, 0).pass(700);
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).isEmpty();
    }

    @Test
    public void nothingIsCutBeforeEnoughOutcomes() {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2, 3);
        s.ask(1, 0).pass(850);
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).isEmpty();
    }

    @Test
    public void aClassThatMayNotRepeatIsNeverCut() {
        Scene s = learned(12);
        s.all.clear();
        s.ask(1000, 1, 3, 200, 20000).pass(8000);
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).isEmpty();
    }

    @Test
    public void nothingIsCutWithLessTimeLeftThanARerunTakes() {
        Scene s = learned(12);
        s.all.clear();
        s.ask(1000, 0, 0, 200, 400).pass(390);
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).isEmpty();
    }

    @Test
    public void anAttemptNearlyDoneIsSpared() {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(4, 500, 1000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.WAIT));
        Scene s = new Scene(Scene.settings(limits, Scene.rules(), Scene.look())).engines(1, 2, 3, 4);
        for (int i = 0; i < 60; i++) {
            s.ask(i, 0).pass(i % 10 == 5 ? 900 : 200).verdict(i, 0, AttemptOutcome.OK);
        }
        s.ask(1000, 0).pass(200);
        s.tell(new SchedulerEvent.AttemptProgress(1000, 0, ProgressKind.RATIO_DONE, 0.9));
        s.all.clear();
        s.pass(300);
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).isEmpty();
    }

    /** On crowded engines a run that can earn nothing any more holds the place of others. */
    @Test
    public void aRunPastItsAimWithNoLateWorthIsGivenUpAtOnce() {
        Scene s = new Scene(Scene.settings(Scene.look(), Scene.load())).engines(1);
        s.ask(1, 0).ask(2, 1, 3, 200, 20000).pass(1300);
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).isEmpty();
        s.pass(300);
        assertThat(s.all(SchedulerAction.CancelAttempt.class))
                .extracting(SchedulerAction.CancelAttempt::request)
                .containsExactly(1L);
        assertThat(s.all(SchedulerAction.Reject.class))
                .extracting(SchedulerAction.Reject::request)
                .containsExactly(1L);
    }

    /** Notes pass for signs of life, but their share no longer rises: the rerun would never end. */
    @Test
    public void aRerunThatStandsStillIsRelaunchedAndOneThatMovesIsNot() {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(4, 500, 1000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.WAIT));
        RequestClass patient = new RequestClass(
                new RequestClass.Objective(30_000, 1, 60_000, 1, 0.5),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.Workload(false, false, 1));
        for (boolean moves : new boolean[] {true, false}) {
            Scene s = new Scene(Scene.settings(limits, Scene.rules(), patient)).engines(1, 2, 3, 4);
            s.ask(1, 0, 0, 1000, 60_000).pass(2000);
            assertThat(s.last(SchedulerAction.CancelAttempt.class))
                    .as("the first engine is silent")
                    .hasSize(1);
            s.verdict(1, 0, AttemptOutcome.CANCELLED);
            s.all.clear();
            for (int i = 1; i < 10; i++) {
                double share = moves ? Math.min(0.9, i * 0.3) : 0.3;
                s.pass(1000).tell(new SchedulerEvent.AttemptProgress(1, 1, ProgressKind.RATIO_DONE, share));
            }
            s.pass(100);
            assertThat(s.all(SchedulerAction.CancelAttempt.class)).hasSize(moves ? 0 : 1);
        }
    }
}
