package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;
import static lineward.scheduling.TestingScheduler.NO_COSTS;
import static lineward.scheduling.TestingScheduler.byKeyClass;
import static lineward.scheduling.TestingScheduler.classOnKind;
import static lineward.scheduling.TestingScheduler.limits;
import static lineward.scheduling.TestingScheduler.loadClass;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.settings;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the rules on deadlines, repeats, key order, drains, slow start and the retry budget. */
public class SchedulerRulesTest {

    @Test
    public void requestWithoutTimeLeftIsRejectedInTheSameDecision() {
        SchedulerSettings settings = settings(lookupClass(), loadClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2);
        scheduler.requestArrives(5, 1, 9, 3000, 0);
        assertThat(scheduler.lastActions(SchedulerAction.Reject.class)).hasSize(1);
        assertThat(scheduler.lastStarts()).isEmpty();
    }

    @Test
    public void timeoutAtTheDeadlineFailsANonIdempotentRequestAtOnce() {
        SchedulerSettings settings = settings(lookupClass(), loadClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1);
        scheduler.requestArrives(5, 1);
        assertThat(scheduler.lastStartedEngine()).isEqualTo(1);
        scheduler.nowMs += 5000;
        scheduler.attemptEnds(5, 0, TIMEOUT);
        assertThat(scheduler.lastActions(SchedulerAction.Fail.class)).hasSize(1);
    }

    @Test
    public void nonIdempotentRequestThatMayHaveRunFailsWithoutRetry() {
        for (AttemptOutcome outcome : List.of(ERROR, RESET, CANCELLED, TIMEOUT)) {
            TestingScheduler scheduler = new TestingScheduler(settings(loadClass())).listEngines(1, 2);
            scheduler.requestArrives(5, 0);
            scheduler.attemptEnds(5, 0, outcome);
            assertThat(scheduler.lastActions(SchedulerAction.Fail.class))
                    .as(outcome.name())
                    .hasSize(1);
            assertThat(scheduler.advance(2000).allStarts()).hasSize(1);
            assertThat(scheduler.allActions(SchedulerAction.Reject.class)).isEmpty();
        }
    }

    @Test
    public void nonIdempotentRequestThatNeverRanIsRetriedOnAnotherEngine() {
        for (AttemptOutcome outcome : List.of(REJECTED, CONNECT_FAILED)) {
            TestingScheduler scheduler = new TestingScheduler(settings(loadClass())).listEngines(1, 2);
            scheduler.requestArrives(5, 0);
            long firstEngine = scheduler.lastStartedEngine();
            scheduler.attemptEnds(5, 0, outcome);
            assertThat(scheduler.lastStartedEngine())
                    .as(outcome.name())
                    .isNotEqualTo(firstEngine)
                    .isPositive();
        }
    }

    @Test
    public void requestWithKeyIsRetriedInItsCellUntilTheKeyExpires() {
        SchedulerSettings settings = settings(byKeyClass(DeduplicationScope.CELL, 4000));
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
        scheduler.requestArrives(5, 0);
        long firstEngine = scheduler.lastStartedEngine();
        scheduler.nowMs += 50;
        scheduler.attemptEnds(5, 0, ERROR);
        assertThat(scheduler.lastStartedEngine() % 2).isEqualTo(firstEngine % 2);
        assertThat(scheduler.lastStartedEngine()).isNotEqualTo(firstEngine);
        assertThat(scheduler.lastStarts().get(0).startWithinMs())
                .as("the attempt may wait for a connection")
                .isEqualTo(3950);
        scheduler.nowMs += 4000;
        scheduler.attemptEnds(5, 1, ERROR);
        assertThat(scheduler.lastStarts()).isEmpty();
        assertThat(scheduler.lastActions(SchedulerAction.Fail.class)).hasSize(1);
    }

    @Test
    public void drainingAndUnlistedEnginesGetNoAttempts() {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass())).listEngines(1, 2);
        scheduler.receive(new SchedulerEvent.EndpointsChanged(
                false, List.of(new Endpoint(1, 0, 1, 0, EndpointState.DRAINING, 0, 0))));
        for (int i = 0; i < 6; i++) {
            scheduler.requestArrives(10 + i, 0);
        }
        scheduler.listEngines(3);
        for (int i = 0; i < 6; i++) {
            scheduler.requestArrives(20 + i, 0);
        }
        assertThat(scheduler.allStarts()).hasSizeGreaterThan(9);
        assertThat(scheduler.allStarts().subList(0, 6)).allMatch(start -> start.engine() == 2);
        assertThat(scheduler.allStarts().subList(6, 10)).allMatch(start -> start.engine() == 3);
    }

    @Test
    public void engineInSlowStartStaysWithinItsBudget() {
        // Two windows of 1 s allow 2 x 3 x 0.33 x 8 cores x 0.85 (the utilisation at full capacity) x 1 s =
        // 13,464 ms of work: 67 requests of 200 ms.
        assertThat(attemptsStartedDuringSlowStart(1)).isBetween(10, 67);
        int startedByOneOfFour = attemptsStartedDuringSlowStart(4);
        assertThat(startedByOneOfFour)
                .as("a quarter for each of four front ends")
                .isBetween(2, 17);
    }

    private static int attemptsStartedDuringSlowStart(int frontEnds) {
        SchedulerSettings defaults = settings(lookupClass());
        TestingScheduler scheduler = new TestingScheduler(new SchedulerSettings(
                defaults.classes(),
                defaults.kinds(),
                new SchedulerSettings.FleetPosition(2, 0, frontEnds, 0),
                defaults.limits(),
                defaults.rules(),
                new SchedulerSettings.LoadReporting(List.of(), false),
                new SchedulerSettings.Discovery(false, 0, false),
                NO_COSTS,
                new SchedulerSettings.TenantQuotas(List.of(), 1)));
        scheduler.receive(new SchedulerEvent.EndpointsChanged(
                true, List.of(new Endpoint(1, 0, 1, scheduler.nowMs - 10, EndpointState.READY, 0, 0))));
        int started = 0;
        for (int i = 0; i < 400; i++) {
            scheduler.nowMs += 5;
            scheduler.requestArrives(i, 0);
            for (SchedulerAction.StartAttempt start : scheduler.lastStarts()) {
                started++;
                scheduler.attemptEnds(start.requestId(), 0, OK);
                started += scheduler.lastStarts().size();
            }
        }
        return started;
    }

    @Test
    public void requestsOfAKeyRunInOrderAndWaitAfterAnIndeterminateOutcome() {
        TestingScheduler scheduler = new TestingScheduler(settings(loadClass())).listEngines(1, 2, 3);
        for (int id = 1; id <= 3; id++) {
            scheduler.requestArrives(id, 0, 77, 500, 9000);
        }
        assertThat(scheduler.allStarts())
                .extracting(SchedulerAction.StartAttempt::requestId)
                .containsExactly(1L);
        scheduler.attemptEnds(1, 0, OK);
        assertThat(scheduler.lastStarts())
                .extracting(SchedulerAction.StartAttempt::requestId)
                .containsExactly(2L);
        scheduler.attemptEnds(2, 0, RESET);
        assertThat(scheduler.advance(475).lastStarts()).isEmpty();
        assertThat(scheduler.advance(50).lastStarts())
                .extracting(SchedulerAction.StartAttempt::requestId)
                .containsExactly(3L);
    }

    @Test
    public void requestWithoutAnAllowedEngineIsQueuedUntilItsDeadline() {
        TestingScheduler scheduler = new TestingScheduler(settings(classOnKind(1))).listEngines(1, 2);
        scheduler.requestArrives(5, 0);
        assertThat(scheduler.allStarts()).isEmpty();
        assertThat(scheduler.advance(5000).allStarts()).isEmpty();
        assertThat(scheduler.allActions(SchedulerAction.Reject.class)).hasSize(1);
    }

    @Test
    public void retriesStayWithinTheirBudget() {
        SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(15000, 0.33, 3, 1000),
                500,
                new SchedulerSettings.RetryBudget(10000, 1, 0.1));
        SchedulerSettings settings = settings(limits(6), rules, lookupClass());
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3);
        int retries = 0;
        for (int i = 0; i < 10; i++) {
            scheduler.nowMs += 10;
            scheduler.requestArrives(i, 0);
            scheduler.attemptEnds(i, 0, ERROR);
            retries += scheduler.lastStarts().size();
            scheduler.attemptEnds(i, 1, OK);
        }
        assertThat(retries).isBetween(1, 2);
    }

    @Test
    public void requestHasOneAttemptInFlightAndNoneOnceCancelled() {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass())).listEngines(1, 2, 3);
        scheduler.requestArrives(5, 0);
        assertThat(scheduler.advance(400).allStarts()).hasSize(1);
        scheduler.receive(new SchedulerEvent.RequestCancelled(5));
        scheduler.attemptEnds(5, 0, CANCELLED);
        assertThat(scheduler.advance(3000).allStarts()).hasSize(1);
        assertThat(scheduler.allActions(SchedulerAction.Reject.class)).isEmpty();
        assertThat(scheduler.allActions(SchedulerAction.Fail.class)).isEmpty();
    }

    @Test
    public void invalidSettingsAreRejected() {
        assertThatThrownBy(() -> settings(classOnKind(5))).hasMessageContaining("unknown kind");
        assertThatThrownBy(() -> settings()).hasMessageContaining("classes");
    }

    /**
     * A request without an estimate counts with the mean work of its class, which is assumed to be high
     * before the first outcome. So 300 front ends with one request each do not overload an engine in slow
     * start.
     */
    @Test
    public void slowStartCountsTheMeanWorkOfRequestsWithoutEstimates() {
        RequestClass report = new RequestClass(
                new RequestClass.Objective(300, 2.5, 15_000, 3, 0.4),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(false, false, 2));
        int started = 0;
        for (int i = 0; i < 300; i++) {
            SchedulerSettings defaults = settings(report);
            TestingScheduler scheduler = new TestingScheduler(new SchedulerSettings(
                    defaults.classes(),
                    defaults.kinds(),
                    new SchedulerSettings.FleetPosition(2, 0, 300, i),
                    defaults.limits(),
                    defaults.rules(),
                    new SchedulerSettings.LoadReporting(List.of(), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    NO_COSTS,
                    new SchedulerSettings.TenantQuotas(List.of(), 1)));
            scheduler.receive(new SchedulerEvent.EndpointsChanged(
                    true, List.of(new Endpoint(1, 0, 1, scheduler.nowMs + 2000, EndpointState.READY, 0, 0))));
            scheduler.nowMs += 2010;
            scheduler.requestArrives(1, 0, 0, 0, 15_000);
            started += scheduler.lastStarts().size();
        }
        // The engine takes 3 x 0.33 x 8 cores x 1 s = 7,920 ms of work. Each request counts with 3,750 ms or
        // more: an eighth of its deadline of 15 s, for each of 2 threads.
        assertThat(started).isLessThanOrEqualTo(1);
    }

    /** A restarted front end does not know its earlier attempts, which still count at the engine. */
    @Test
    public void restartedFrontEndSkipsEnginesInSlowStartAtFirst() {
        TestingScheduler scheduler = new TestingScheduler(settings(lookupClass()));
        scheduler.receive(new SchedulerEvent.EndpointsChanged(
                true, List.of(new Endpoint(1, 0, 1, scheduler.nowMs - 500, EndpointState.READY, 0, 0))));
        scheduler.requestArrives(1, 0);
        assertThat(scheduler.lastStarts()).isEmpty();
        assertThat(scheduler.advance(1100).lastStarts()).hasSize(1);
    }

    /** Without budget for a relaunch, an attempt on a silent engine continues, as it may still succeed. */
    @Test
    public void attemptIsNotCancelledWithoutBudgetForARelaunch() {
        for (int budget : new int[] {1, 0}) {
            SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                    1000,
                    new SchedulerSettings.SlowStartRule(15000, 0.33, 3, 1000),
                    500,
                    new SchedulerSettings.RetryBudget(5000, budget, 0));
            SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                    new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                    new SchedulerSettings.AttemptLimits(4, 500, 500),
                    new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.WAIT));
            SchedulerSettings settings = settings(limits, rules, lookupClass());
            TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3);
            scheduler.requestArrives(1, 0).advance(1150);
            assertThat(scheduler.lastCancels()).hasSize(budget);
        }
    }
}
