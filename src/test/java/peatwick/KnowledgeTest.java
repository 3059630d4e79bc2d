package peatwick;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import peatwick.Front.Outcome;

/** What fronts learn from reports, from each other and from answers. */
class KnowledgeTest {

    private static Scene talking(int fronts) {
        Front.Limits limits =
                new Front.Limits(true, true, false, true, 500, 4, true, true, 0.4, Front.WhenShort.PAGE, 2000, true);
        List<Front.Kind> kinds = List.of(new Front.Kind(8, 0));
        return new Scene(new Front.Settings(
                        List.of(Scene.look()),
                        kinds,
                        1,
                        0,
                        fronts,
                        0,
                        limits,
                        Scene.rules(),
                        List.of(Front.ReportField.IN_HAND, Front.ReportField.MEMORY),
                        false,
                        false,
                        0,
                        false,
                        new Front.Prices(0.01, 0.01),
                        List.of(),
                        1))
                .engines(1, 2, 3, 4);
    }

    /** Lets the front take its turn to look, and answers with so many in hand at engine 1, one elsewhere. */
    private static List<Front.Announce> look(Scene s, double busy) {
        List<Front.Announce> words = new ArrayList<>();
        for (int i = 0; i < 400 && words.isEmpty(); i++) {
            s.now += 25;
            s.tell(new Front.Wake(1));
            List<Front.Event> answers = new ArrayList<>();
            for (Front.Probe p : s.last(Front.Probe.class)) {
                answers.add(new Front.Probed(
                        p.engine(), Outcome.OK, 1, new double[] {p.engine() == 1 ? busy : 1, 0.2}));
            }
            s.now += 25;
            answers.add(new Front.Wake(0));
            s.tell(answers.toArray(new Front.Event[0]));
            words.addAll(s.last(Front.Announce.class));
        }
        return words;
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 50, 300})
    void whatOneFrontSawKeepsAnotherFromAFullEngine(int fronts) {
        List<Front.Announce> words = look(talking(fronts), 60);
        assertThat(words).isNotEmpty();
        for (boolean told : new boolean[] {true, false}) {
            int full = 0;
            Scene s = talking(fronts);
            s.ask(1000, 0).verdict(1000, 0, Outcome.OK);
            if (told) {
                s.tell(new Front.PeerSays(1, words.get(0).octets()));
            }
            for (int n = 0; n < 60; n++) {
                s.ask(n, 0);
                full += s.sentTo() == 1 ? 1 : 0;
                s.verdict(n, 0, Outcome.OK);
            }
            assertThat(full == 0).as("told " + told).isEqualTo(told);
        }
    }

    @Test
    void wordsThatAreGarbledLateOrOfUnknownEnginesHarmNothing() {
        Scene s = talking(50);
        s.tell(
                new Front.PeerSays(9, new byte[] {1, 2, 3}),
                new Front.PeerSays(9, new byte[256]),
                new Front.PeerSays(9, new byte[0]));
        byte[] full = look(talking(50), 60).get(0).octets();
        s.tell(new Front.PeerSays(1, full));
        s.pass(3000);
        long used = 0;
        for (int i = 0; i < 60; i++) {
            s.ask(i, 0);
            used |= s.sentTo() > 0 ? 1L << s.sentTo() : 0;
            s.verdict(i, 0, Outcome.OK);
            s.pass(50);
        }
        assertThat(used).as("a word is forgotten, all four engines are used").isEqualTo(0b11110);
    }

    /** Estimates a third of the truth: the aim grows with the work, so a long request is not given up. */
    @Test
    void answersThatTellTheWorkCorrectTheEstimatesOfTheirClass() {
        Front.RequestClass stretched = new Front.RequestClass(
                400, 2, 20_000, 1, 0, Front.Effect.SAFE, Front.Scope.ALL, 0, false, null, null, false, false, 1);
        for (double told : new double[] {1150, 0}) {
            Scene s = new Scene(Scene.settings(Scene.limits(4), Scene.rules(), stretched)).engines(1, 2, 3);
            for (int i = 0; i < 8; i++) {
                s.ask(i, 0, 0, 400, 20_000).pass(1150);
                s.tell(new Front.Verdict(i, 0, Outcome.OK, true, told, 0, new double[0]))
                        .pass(100);
            }
            s.ask(100, 0, 0, 2000, 20_000);
            assertThat(s.sentTo() > 0).as("told " + told).isEqualTo(told > 0);
        }
    }

    /** Half the memory spills, and a spilled query does several times its work. */
    @Test
    void answersThatTellTheMemoryRaiseTheGrantsOfTheirClassAtOnce() {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2, 3);
        for (int i = 0; i < 4; i++) {
            s.ask(i, 0).pass(200).tell(new Front.Verdict(i, 0, Outcome.OK, true, 0, 300, new double[0]));
        }
        s.ask(100, 0);
        assertThat(s.last(Front.SetLimits.class).get(0).grantMb()).isBetween(300.0, 600.0);
    }

    /** A front of many hears little from one engine: a straggler and what was just sent are no silence. */
    @Test
    void oneStragglerIsNoSilenceAndTwoOverdueAre() {
        for (boolean second : new boolean[] {false, true}) {
            Scene s = new Scene(Scene.settings(Scene.look())).engines(1);
            s.ask(1, 0);
            if (second) {
                s.ask(2, 0);
            }
            s.pass(2500).ask(3, 0).pass(100);
            assertThat(s.control.avoided()).isEqualTo(second ? 1 : 0);
        }
    }

    /** The first note of progress may take one and a half intervals: until then silence means nothing. */
    @Test
    void anEngineIsNotSilentBeforeTheFirstNoteIsDue() {
        Front.Limits limits =
                new Front.Limits(true, true, false, true, 500, 4, true, true, 0.4, Front.WhenShort.WAIT, 2000, false);
        Scene s = new Scene(Scene.settings(limits, Scene.rules(), Scene.load())).engines(1, 2);
        s.ask(1, 0, 0, 3000, 20_000).pass(3000);
        assertThat(s.all(Front.Log.class)).isEmpty();
        s.pass(600);
        assertThat(s.all(Front.Log.class)).hasSize(1);
    }
}
