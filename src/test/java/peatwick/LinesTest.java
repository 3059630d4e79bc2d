package peatwick;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;
import peatwick.Front.Cancel;
import peatwick.Front.Note;
import peatwick.Front.NoteKind;
import peatwick.Front.Outcome;
import peatwick.Front.Send;

/** What stands in an engine's line, and stragglers that few outcomes have to tell. */
class LinesTest {
    private static Scene scene(double notesEvery, int attempts) {
        Front.Limits limits = new Front.Limits(
                true, true, false, true, 500, attempts, true, true, 0.4, Front.WhenShort.WAIT, notesEvery, false);
        return new Scene(Scene.settings(limits, Scene.rules(), Scene.look(), Scene.load())).engines(1, 2, 3, 4);
    }

    /** An engine tells once that a load waits there, and then nothing until it runs. */
    @Test
    void whatWaitsInLineIsNoSilence() {
        Scene s = scene(500, 5);
        s.ask(1, 1, 0, 2000, 20000);
        long engine = s.sentTo();
        s.tell(new Note(1, 0, NoteKind.WAITS_FOR_MEMORY, 1)).pass(4000);
        assertThat(s.all(Front.Log.class)).noneMatch(l -> l.text().contains(Long.toHexString(engine)));
        assertThat(s.all(Cancel.class)).isEmpty();
    }

    @Test
    void aWaitingRequestMovesToAnotherEngineAtOnceButNoMoreThanTwice() {
        Scene s = scene(500, 6);
        s.ask(1, 0, 0, 200, 5000);
        Set<Long> met = new HashSet<>(Set.of(s.sentTo()));
        for (int attempt = 0; attempt < 2; attempt++) {
            s.tell(new Note(1, attempt, NoteKind.WAITS_FOR_MEMORY, 1));
            assertThat(s.last(Cancel.class)).containsExactly(new Cancel(1, attempt));
            s.verdict(1, attempt, Outcome.CANCELLED);
            assertThat(met.add(s.sentTo())).as("a different engine each time").isTrue();
        }
        s.tell(new Note(1, 2, NoteKind.WAITS_FOR_MEMORY, 1));
        assertThat(s.last(Cancel.class)).as("the third line is waited in").isEmpty();
    }

    @Test
    void whatMayNotRepeatOrHasBegunStays() {
        Scene s = scene(500, 5);
        s.ask(1, 1, 0, 2000, 20000).tell(new Note(1, 0, NoteKind.WAITS_FOR_LOAD, 2));
        s.ask(2, 0, 0, 200, 5000).tell(new Note(2, 0, NoteKind.PROGRESS, 0.4));
        s.tell(new Note(2, 0, NoteKind.WAITS_FOR_LOAD, 2));
        assertThat(s.all(Cancel.class)).isEmpty();
        assertThat(s.all(Send.class)).hasSize(2);
    }

    /** A front that saw no outcome of a class yet knows a straggler from the others' times and its notes. */
    @Test
    void aStragglerOfARareClassIsCutOnTheEvidenceOfAllClasses() {
        Front.RequestClass report = new Front.RequestClass(
                3000, 2, 20000, 6, 0.3, Front.Effect.SAFE, Front.Scope.ALL, 0, false, null, null, false, false, 2);
        Front.Limits limits =
                new Front.Limits(true, true, false, true, 500, 5, true, true, 0.4, Front.WhenShort.WAIT, 1000, false);
        Scene s = new Scene(Scene.settings(limits, Scene.rules(), Scene.look(), report)).engines(1, 2, 3, 4);
        for (int i = 0; i < 25; i++) {
            s.ask(i, 0).pass(200).verdict(i, 0, Outcome.OK);
        }
        for (int i = 100; i < 103; i++) {
            s.all.clear();
            s.ask(i, 1, 0, 2000, 20000)
                    .pass(1000)
                    .tell(new Note(i, 0, NoteKind.PROGRESS, 0.05))
                    .pass(100);
            assertThat(s.all(Cancel.class)).as("straggler " + i).containsExactly(new Cancel(i, 0));
            s.verdict(i, 0, Outcome.CANCELLED);
            s.pass(1000).verdict(i, 1, Outcome.OK);
        }
    }

    /** After a stall of the front a wake comes first in the batch, and the answers behind it. */
    @Test
    void answersBehindAWakeInOneBatchAreReadBeforeAnythingIsJudged() {
        Scene s = scene(0, 5);
        s.ask(1, 0, 0, 200, 5000).ask(2, 0, 0, 200, 5000);
        s.all.clear();
        s.now += 2000;
        s.tell(
                new Front.Wake(0),
                new Front.Verdict(1, 0, Outcome.OK, true, 0, 0, new double[0]),
                new Front.Verdict(2, 0, Outcome.OK, true, 0, 0, new double[0]));
        assertThat(s.all).noneMatch(a -> a instanceof Cancel || a instanceof Front.Refuse || a instanceof Front.Log);
    }
}
