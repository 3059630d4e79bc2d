package lineward.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.AttemptProgress;
import lineward.scheduling.SchedulerEvent.TimerFired;
import org.testng.annotations.Test;

/** What stands in an engine's line, and stragglers that few outcomes have to tell. */
public class LinesTest {
    private static Scene scene(double notesEvery, int attempts) {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(attempts, 500, notesEvery),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.WAIT));
        SchedulerSettings settings = Scene.settings(limits, Scene.rules(), Scene.look(), Scene.load());
        return new Scene(settings).engines(1, 2, 3, 4);
    }

    /** An engine tells once that a load waits there, and then nothing until it runs. */
    @Test
    public void whatWaitsInLineIsNoSilence() {
        Scene s = scene(500, 5);
        s.ask(1, 1, 0, 2000, 20000);
        long engine = s.sentTo();
        s.tell(new AttemptProgress(1, 0, ProgressKind.WAITING_FOR_MEMORY, 1)).pass(4000);
        assertThat(s.all(SchedulerAction.LogMessage.class))
                .noneMatch(l -> l.text().contains(Long.toHexString(engine)));
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).isEmpty();
    }

    @Test
    public void aWaitingRequestMovesToAnotherEngineAtOnceButNoMoreThanTwice() {
        Scene s = scene(500, 6);
        s.ask(1, 0, 0, 200, 5000);
        Set<Long> met = new HashSet<>(Set.of(s.sentTo()));
        for (int attempt = 0; attempt < 2; attempt++) {
            s.tell(new AttemptProgress(1, attempt, ProgressKind.WAITING_FOR_MEMORY, 1));
            assertThat(s.last(SchedulerAction.CancelAttempt.class))
                    .containsExactly(new SchedulerAction.CancelAttempt(1, attempt));
            s.verdict(1, attempt, AttemptOutcome.CANCELLED);
            assertThat(met.add(s.sentTo())).as("a different engine each time").isTrue();
        }
        s.tell(new AttemptProgress(1, 2, ProgressKind.WAITING_FOR_MEMORY, 1));
        assertThat(s.last(SchedulerAction.CancelAttempt.class))
                .as("the third line is waited in")
                .isEmpty();
    }

    @Test
    public void whatMayNotRepeatOrHasBegunStays() {
        Scene s = scene(500, 5);
        s.ask(1, 1, 0, 2000, 20000).tell(new AttemptProgress(1, 0, ProgressKind.WAITING_FOR_LOAD, 2));
        s.ask(2, 0, 0, 200, 5000).tell(new AttemptProgress(2, 0, ProgressKind.RATIO_DONE, 0.4));
        s.tell(new AttemptProgress(2, 0, ProgressKind.WAITING_FOR_LOAD, 2));
        assertThat(s.all(SchedulerAction.CancelAttempt.class)).isEmpty();
        assertThat(s.all(SchedulerAction.StartAttempt.class)).hasSize(2);
    }

    /** A front that saw no outcome of a class yet knows a straggler from the others' times and its notes. */
    @Test
    public void aStragglerOfARareClassIsCutOnTheEvidenceOfAllClasses() {
        RequestClass report = new RequestClass(
                new RequestClass.Objective(3000, 2, 20000, 6, 0.3),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.Workload(false, false, 2));
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(5, 500, 1000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.WAIT));
        Scene s = new Scene(Scene.settings(limits, Scene.rules(), Scene.look(), report)).engines(1, 2, 3, 4);
        for (int i = 0; i < 25; i++) {
            s.ask(i, 0).pass(200).verdict(i, 0, AttemptOutcome.OK);
        }
        for (int i = 100; i < 103; i++) {
            s.all.clear();
            s.ask(i, 1, 0, 2000, 20000)
                    .pass(1000)
                    .tell(new AttemptProgress(i, 0, ProgressKind.RATIO_DONE, 0.05))
                    .pass(100);
            assertThat(s.all(SchedulerAction.CancelAttempt.class))
                    .as("straggler " + i)
                    .containsExactly(new SchedulerAction.CancelAttempt(i, 0));
            s.verdict(i, 0, AttemptOutcome.CANCELLED);
            s.pass(1000).verdict(i, 1, AttemptOutcome.OK);
        }
    }

    /** After a stall of the front a wake comes first in the batch, and the answers behind it. */
    @Test
    public void answersBehindAWakeInOneBatchAreReadBeforeAnythingIsJudged() {
        Scene s = scene(0, 5);
        s.ask(1, 0, 0, 200, 5000).ask(2, 0, 0, 200, 5000);
        s.all.clear();
        s.now += 2000;
        s.tell(
                new TimerFired(0),
                new AttemptEnded(1, 0, AttemptOutcome.OK, true, 0, 0, new double[0]),
                new AttemptEnded(2, 0, AttemptOutcome.OK, true, 0, 0, new double[0]));
        assertThat(s.all)
                .noneMatch(a -> a instanceof SchedulerAction.CancelAttempt
                        || a instanceof SchedulerAction.Reject
                        || a instanceof SchedulerAction.LogMessage);
    }
}
