package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.TestingScheduler.limits;
import static lineward.scheduling.TestingScheduler.loadClass;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.rules;
import static lineward.scheduling.TestingScheduler.settings;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.GossipReceived;
import lineward.scheduling.SchedulerEvent.HealthCheckCompleted;
import lineward.scheduling.SchedulerEvent.TimerFired;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the state that a scheduler learns from load reports, gossip and the outcomes of attempts. */
public class LearnedStateTest {

    private static TestingScheduler schedulerWithGossip(int frontEnds) {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, true),
                new SchedulerSettings.AttemptLimits(4, 500, 2000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.PAGE));
        List<EngineKind> kinds = List.of(new EngineKind(8, 0));
        return new TestingScheduler(new SchedulerSettings(
                        List.of(lookupClass()),
                        kinds,
                        new SchedulerSettings.FleetPosition(1, 0, frontEnds, 0),
                        limits,
                        rules(),
                        new SchedulerSettings.LoadReporting(
                                List.of(LoadReportField.IN_FLIGHT, LoadReportField.MEMORY), false),
                        new SchedulerSettings.Discovery(false, 0, false),
                        new SchedulerSettings.MessageCosts(0.01, 0.01),
                        new SchedulerSettings.TenantQuotas(List.of(), 1)))
                .listEngines(1, 2, 3, 4);
    }

    /** Polls until gossip is sent. Engine 1 reports {@code load} requests in flight, the others one each. */
    private static List<SchedulerAction.BroadcastGossip> nextGossip(TestingScheduler scheduler, double load) {
        List<SchedulerAction.BroadcastGossip> messages = new ArrayList<>();
        for (int i = 0; i < 400 && messages.isEmpty(); i++) {
            scheduler.nowMs += 25;
            scheduler.receive(new TimerFired(1));
            List<SchedulerEvent> events = new ArrayList<>();
            List<SchedulerAction.StartHealthCheck> checks =
                    scheduler.lastActions(SchedulerAction.StartHealthCheck.class);
            for (SchedulerAction.StartHealthCheck check : checks) {
                events.add(new HealthCheckCompleted(
                        check.engine(), OK, 1, new double[] {check.engine() == 1 ? load : 1, 0.2}));
            }
            scheduler.nowMs += 25;
            events.add(new TimerFired(0));
            scheduler.receive(events.toArray(new SchedulerEvent[0]));
            messages.addAll(scheduler.lastActions(SchedulerAction.BroadcastGossip.class));
        }
        return messages;
    }

    @DataProvider
    public Object[][] frontEnds() {
        return new Object[][] {{2}, {50}, {300}};
    }

    @Test(dataProvider = "frontEnds")
    public void gossipKeepsOtherFrontEndsFromAnOverloadedEngine(int frontEnds) {
        List<SchedulerAction.BroadcastGossip> messages = nextGossip(schedulerWithGossip(frontEnds), 60);
        assertThat(messages).isNotEmpty();
        for (boolean received : new boolean[] {true, false}) {
            int startsAtOverloadedEngine = 0;
            TestingScheduler scheduler = schedulerWithGossip(frontEnds);
            scheduler.requestArrives(1000, 0).attemptEnds(1000, 0, OK);
            if (received) {
                scheduler.receive(new GossipReceived(1, messages.get(0).payload()));
            }
            for (int request = 0; request < 60; request++) {
                scheduler.requestArrives(request, 0);
                startsAtOverloadedEngine += scheduler.lastStartedEngine() == 1 ? 1 : 0;
                scheduler.attemptEnds(request, 0, OK);
            }
            assertThat(startsAtOverloadedEngine == 0).as("received " + received).isEqualTo(received);
        }
    }

    @Test
    public void malformedStaleAndUnknownGossipIsIgnored() {
        TestingScheduler scheduler = schedulerWithGossip(50);
        scheduler.receive(
                new GossipReceived(9, new byte[] {1, 2, 3}),
                new GossipReceived(9, new byte[256]),
                new GossipReceived(9, new byte[0]));
        byte[] payload = nextGossip(schedulerWithGossip(50), 60).get(0).payload();
        scheduler.receive(new GossipReceived(1, payload));
        scheduler.advance(3000);
        long usedEngines = 0;
        for (int i = 0; i < 60; i++) {
            scheduler.requestArrives(i, 0);
            usedEngines |= scheduler.lastStartedEngine() > 0 ? 1L << scheduler.lastStartedEngine() : 0;
            scheduler.attemptEnds(i, 0, OK);
            scheduler.advance(50);
        }
        assertThat(usedEngines)
                .as("engines used after the gossip has expired, as a bit set")
                .isEqualTo(0b11110);
    }

    /**
     * Estimates are about a third of the actual run times. Without the correction learned from reported work,
     * the latency objective of a long request is too short for its run time, so that it is rejected.
     */
    @Test
    public void reportedWorkCorrectsTheEstimatesOfTheClass() {
        RequestClass requestClass = new RequestClass(
                new RequestClass.Objective(400, 2, 20_000, 1, 0),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(false, false, 1));
        for (double reportedMs : new double[] {1150, 0}) {
            SchedulerSettings settings = settings(limits(4), rules(), requestClass);
            TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3);
            for (int i = 0; i < 8; i++) {
                scheduler.requestArrives(i, 0, 0, 400, 20_000).advance(1150);
                scheduler
                        .receive(new AttemptEnded(i, 0, OK, true, reportedMs, 0, new double[0]))
                        .advance(100);
            }
            scheduler.requestArrives(100, 0, 0, 2000, 20_000);
            assertThat(scheduler.lastStartedEngine() > 0)
                    .as("started; reported work " + reportedMs + " ms")
                    .isEqualTo(reportedMs > 0);
        }
    }

    /** A query that is granted half of the memory it needs spills to disk and does several times its work. */
    @Test
    public void reportedMemoryRaisesTheGrantsOfTheClass() {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass())).listEngines(1, 2, 3);
        for (int i = 0; i < 4; i++) {
            scheduler.requestArrives(i, 0).advance(200);
            scheduler.receive(new AttemptEnded(i, 0, OK, true, 0, 300, new double[0]));
        }
        scheduler.requestArrives(100, 0);
        assertThat(scheduler
                        .lastActions(SchedulerAction.SetResourceLimits.class)
                        .get(0)
                        .grantMb())
                .isBetween(300.0, 600.0);
    }

    /**
     * A front end of a large fleet gets few responses from each engine, so a single straggler must not count
     * as silence of the engine.
     */
    @Test
    public void oneUnansweredAttemptDoesNotEjectAnEngine() {
        for (boolean twoOverdue : new boolean[] {false, true}) {
            TestingScheduler scheduler = new TestingScheduler(settings(lookupClass())).listEngines(1);
            scheduler.requestArrives(1, 0);
            if (twoOverdue) {
                scheduler.requestArrives(2, 0);
            }
            scheduler.advance(2500).requestArrives(3, 0).advance(100);
            assertThat(scheduler.excludedEngineCount()).isEqualTo(twoOverdue ? 1 : 0);
        }
    }

    /**
     * The first progress report may take one and a half intervals, so a lack of reports must not eject an
     * engine earlier.
     */
    @Test
    public void engineIsNotSilentBeforeItsFirstProgressReportIsDue() {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(4, 500, 2000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.WAIT));
        SchedulerSettings settings = settings(limits, rules(), loadClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2);
        scheduler.requestArrives(1, 0, 0, 3000, 20_000).advance(3000);
        assertThat(scheduler.allActions(SchedulerAction.LogMessage.class)).isEmpty();
        scheduler.advance(600);
        assertThat(scheduler.allActions(SchedulerAction.LogMessage.class)).hasSize(1);
    }

    /** If gossip is permitted but engines report no load, gossip messages must be ignored. */
    @Test
    public void gossipIsIgnoredWhereEnginesReportNoLoad() {
        SchedulerSettings withReports = schedulerWithGossip(50).settings;
        SchedulerSettings withoutReports = new SchedulerSettings(
                withReports.classes(),
                withReports.kinds(),
                withReports.position(),
                withReports.limits(),
                withReports.rules(),
                new SchedulerSettings.LoadReporting(List.of(), false),
                withReports.discovery(),
                withReports.messageCosts(),
                withReports.tenantQuotas());
        TestingScheduler scheduler = new TestingScheduler(withoutReports).listEngines(1, 2);
        scheduler.receive(new GossipReceived(1, new byte[] {0, 1, 0, 2}));
        assertThat(scheduler.requestArrives(1, 0).lastStartedEngine()).isPositive();
    }
}
