package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.OK;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.GossipReceived;
import lineward.scheduling.SchedulerEvent.HealthCheckCompleted;
import lineward.scheduling.SchedulerEvent.TimerFired;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What fronts learn from reports, from each other and from answers. */
public class KnowledgeTest {

    private static Scene talking(int fronts) {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, true),
                new SchedulerSettings.AttemptLimits(4, 500, 2000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.PAGE));
        List<EngineKind> kinds = List.of(new EngineKind(8, 0));
        return new Scene(new SchedulerSettings(
                        List.of(Scene.look()),
                        kinds,
                        new SchedulerSettings.FleetPosition(1, 0, fronts, 0),
                        limits,
                        Scene.rules(),
                        new SchedulerSettings.Reporting(
                                List.of(LoadReportField.IN_FLIGHT, LoadReportField.MEMORY), false),
                        new SchedulerSettings.Discovery(false, 0, false),
                        new SchedulerSettings.Costs(0.01, 0.01),
                        new SchedulerSettings.Quotas(List.of(), 1)))
                .engines(1, 2, 3, 4);
    }

    /** Lets the front take its turn to look, and answers with so many in hand at engine 1, one elsewhere. */
    private static List<SchedulerAction.BroadcastGossip> look(Scene s, double busy) {
        List<SchedulerAction.BroadcastGossip> words = new ArrayList<>();
        for (int i = 0; i < 400 && words.isEmpty(); i++) {
            s.now += 25;
            s.tell(new TimerFired(1));
            List<SchedulerEvent> answers = new ArrayList<>();
            for (SchedulerAction.StartHealthCheck p : s.last(SchedulerAction.StartHealthCheck.class)) {
                answers.add(new HealthCheckCompleted(
                        p.engine(), OK, 1, new double[] {p.engine() == 1 ? busy : 1, 0.2}));
            }
            s.now += 25;
            answers.add(new TimerFired(0));
            s.tell(answers.toArray(new SchedulerEvent[0]));
            words.addAll(s.last(SchedulerAction.BroadcastGossip.class));
        }
        return words;
    }

    @DataProvider
    public Object[][] whatOneFrontSawKeepsAnotherFromAFullEngineCases() {
        return new Object[][] {{2}, {50}, {300}};
    }

    @Test(dataProvider = "whatOneFrontSawKeepsAnotherFromAFullEngineCases")
    public void whatOneFrontSawKeepsAnotherFromAFullEngine(int fronts) {
        List<SchedulerAction.BroadcastGossip> words = look(talking(fronts), 60);
        assertThat(words).isNotEmpty();
        for (boolean told : new boolean[] {true, false}) {
            int full = 0;
            Scene s = talking(fronts);
            s.ask(1000, 0).verdict(1000, 0, OK);
            if (told) {
                s.tell(new GossipReceived(1, words.get(0).payload()));
            }
            for (int n = 0; n < 60; n++) {
                s.ask(n, 0);
                full += s.sentTo() == 1 ? 1 : 0;
                s.verdict(n, 0, OK);
            }
            assertThat(full == 0).as("told " + told).isEqualTo(told);
        }
    }

    @Test
    public void wordsThatAreGarbledLateOrOfUnknownEnginesHarmNothing() {
        Scene s = talking(50);
        s.tell(
                new GossipReceived(9, new byte[] {1, 2, 3}),
                new GossipReceived(9, new byte[256]),
                new GossipReceived(9, new byte[0]));
        byte[] full = look(talking(50), 60).get(0).payload();
        s.tell(new GossipReceived(1, full));
        s.pass(3000);
        long used = 0;
        for (int i = 0; i < 60; i++) {
            s.ask(i, 0);
            used |= s.sentTo() > 0 ? 1L << s.sentTo() : 0;
            s.verdict(i, 0, OK);
            s.pass(50);
        }
        assertThat(used).as("a word is forgotten, all four engines are used").isEqualTo(0b11110);
    }

    /** Estimates a third of the truth: the aim grows with the work, so a long request is not given up. */
    @Test
    public void answersThatTellTheWorkCorrectTheEstimatesOfTheirClass() {
        RequestClass stretched = new RequestClass(
                new RequestClass.Objective(400, 2, 20_000, 1, 0),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.Workload(false, false, 1));
        for (double told : new double[] {1150, 0}) {
            Scene s = new Scene(Scene.settings(Scene.limits(4), Scene.rules(), stretched)).engines(1, 2, 3);
            for (int i = 0; i < 8; i++) {
                s.ask(i, 0, 0, 400, 20_000).pass(1150);
                s.tell(new AttemptEnded(i, 0, OK, true, told, 0, new double[0])).pass(100);
            }
            s.ask(100, 0, 0, 2000, 20_000);
            assertThat(s.sentTo() > 0).as("told " + told).isEqualTo(told > 0);
        }
    }

    /** Half the memory spills, and a spilled query does several times its work. */
    @Test
    public void answersThatTellTheMemoryRaiseTheGrantsOfTheirClassAtOnce() {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2, 3);
        for (int i = 0; i < 4; i++) {
            s.ask(i, 0).pass(200).tell(new AttemptEnded(i, 0, OK, true, 0, 300, new double[0]));
        }
        s.ask(100, 0);
        assertThat(s.last(SchedulerAction.SetResourceLimits.class).get(0).grantMb())
                .isBetween(300.0, 600.0);
    }

    /** A front of many hears little from one engine: a straggler and what was just sent are no silence. */
    @Test
    public void oneStragglerIsNoSilenceAndTwoOverdueAre() {
        for (boolean second : new boolean[] {false, true}) {
            Scene s = new Scene(Scene.settings(Scene.look())).engines(1);
            s.ask(1, 0);
            if (second) {
                s.ask(2, 0);
            }
            s.pass(2500).ask(3, 0).pass(100);
            assertThat(s.control.excludedEngines()).isEqualTo(second ? 1 : 0);
        }
    }

    /** The first note of progress may take one and a half intervals: until then silence means nothing. */
    @Test
    public void anEngineIsNotSilentBeforeTheFirstNoteIsDue() {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(4, 500, 2000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.WAIT));
        Scene s = new Scene(Scene.settings(limits, Scene.rules(), Scene.load())).engines(1, 2);
        s.ask(1, 0, 0, 3000, 20_000).pass(3000);
        assertThat(s.all(SchedulerAction.LogMessage.class)).isEmpty();
        s.pass(600);
        assertThat(s.all(SchedulerAction.LogMessage.class)).hasSize(1);
    }

    /** Front ends may talk where engines report nothing: what arrives then has no report to read. */
    @Test
    public void gossipIsIgnoredWhereEnginesReportNoLoad() {
        SchedulerSettings talking = talking(50).settings;
        SchedulerSettings silent = new SchedulerSettings(
                talking.classes(),
                talking.kinds(),
                talking.position(),
                talking.limits(),
                talking.rules(),
                new SchedulerSettings.Reporting(List.of(), false),
                talking.discovery(),
                talking.costs(),
                talking.quotas());
        Scene s = new Scene(silent).engines(1, 2);
        s.tell(new GossipReceived(1, new byte[] {0, 1, 0, 2}));
        assertThat(s.ask(1, 0).sentTo()).isPositive();
    }
}
