package lineward.scheduling;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.CONNECT_FAILED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.AttemptOutcome.REJECTED;
import static lineward.scheduling.AttemptOutcome.RESET;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.testng.annotations.Test;

public class RulesTest {

    @Test
    public void aTryWithNoTimeLeftIsAnsweredInItsOwnBatch() {
        Scene s = new Scene(Scene.settings(Scene.look(), Scene.load())).engines(1, 2);
        s.ask(5, 1, 9, 3000, 0);
        assertThat(s.last(SchedulerAction.Reject.class)).hasSize(1);
        assertThat(s.last(SchedulerAction.StartAttempt.class)).isEmpty();
    }

    @Test
    public void theTimeoutAtTheDeadlineIsAnsweredAtOnce() {
        Scene s = new Scene(Scene.settings(Scene.look(), Scene.load())).engines(1);
        s.ask(5, 1);
        assertThat(s.sentTo()).isEqualTo(1);
        s.now += 5000;
        s.verdict(5, 0, TIMEOUT);
        assertThat(s.last(SchedulerAction.Fail.class)).hasSize(1);
    }

    @Test
    public void anUnsafeRequestThatMayHaveRunIsFailedAndNeverRefusedOrSentAgain() {
        for (AttemptOutcome o : List.of(ERROR, RESET, CANCELLED, TIMEOUT)) {
            Scene s = new Scene(Scene.settings(Scene.load())).engines(1, 2);
            s.ask(5, 0);
            s.verdict(5, 0, o);
            assertThat(s.last(SchedulerAction.Fail.class)).as(o.name()).hasSize(1);
            assertThat(s.pass(2000).all(SchedulerAction.StartAttempt.class)).hasSize(1);
            assertThat(s.all(SchedulerAction.Reject.class)).isEmpty();
        }
    }

    @Test
    public void anUnsafeRequestProvedNotToHaveRunGoesToAnotherEngine() {
        for (AttemptOutcome o : List.of(REJECTED, CONNECT_FAILED)) {
            Scene s = new Scene(Scene.settings(Scene.load())).engines(1, 2);
            s.ask(5, 0);
            long first = s.sentTo();
            s.verdict(5, 0, o);
            assertThat(s.sentTo()).as(o.name()).isNotEqualTo(first).isPositive();
        }
    }

    @Test
    public void aKeyedRequestStaysInItsCellAndItsTime() {
        Scene s = new Scene(Scene.settings(Scene.keyed(DeduplicationScope.CELL, 4000))).engines(1, 2, 3, 4);
        s.ask(5, 0);
        long first = s.sentTo();
        s.now += 50;
        s.verdict(5, 0, ERROR);
        assertThat(s.sentTo() % 2).isEqualTo(first % 2);
        assertThat(s.sentTo()).isNotEqualTo(first);
        assertThat(s.last(SchedulerAction.StartAttempt.class).get(0).startWithinMs())
                .as("it may wait for a connection")
                .isEqualTo(3950);
        s.now += 4000;
        s.verdict(5, 1, ERROR);
        assertThat(s.last(SchedulerAction.StartAttempt.class)).isEmpty();
        assertThat(s.last(SchedulerAction.Fail.class)).hasSize(1);
    }

    @Test
    public void nothingNewGoesToADrainingOrMissingEngine() {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2);
        s.tell(new SchedulerEvent.EndpointsChanged(
                false, List.of(new Endpoint(1, 0, 1, 0, EndpointState.DRAINING, 0, 0))));
        for (int i = 0; i < 6; i++) {
            s.ask(10 + i, 0);
        }
        s.engines(3);
        for (int i = 0; i < 6; i++) {
            s.ask(20 + i, 0);
        }
        assertThat(s.all(SchedulerAction.StartAttempt.class)).hasSizeGreaterThan(9);
        assertThat(s.all(SchedulerAction.StartAttempt.class).subList(0, 6)).allMatch(x -> x.engine() == 2);
        assertThat(s.all(SchedulerAction.StartAttempt.class).subList(6, 10)).allMatch(x -> x.engine() == 3);
    }

    @Test
    public void aColdEngineGetsNoMoreThanItsBudgetInAnyWindow() {
        // Two windows of 1 s at 3 x 0.33 x 0.85 x 8 cores hold 13,464 ms of work, 67 requests of 200 ms.
        assertThat(sentToColdEngine(1)).isBetween(10, 67);
        assertThat(sentToColdEngine(4)).as("a quarter for each of four fronts").isBetween(2, 17);
    }

    private static int sentToColdEngine(int fronts) {
        SchedulerSettings one = Scene.settings(Scene.look());
        Scene s = new Scene(new SchedulerSettings(
                one.classes(),
                one.kinds(),
                new SchedulerSettings.FleetPosition(2, 0, fronts, 0),
                one.limits(),
                one.rules(),
                new SchedulerSettings.Reporting(List.of(), false),
                new SchedulerSettings.Discovery(false, 0, false),
                Scene.FREE,
                new SchedulerSettings.Quotas(List.of(), 1)));
        s.tell(new SchedulerEvent.EndpointsChanged(
                true, List.of(new Endpoint(1, 0, 1, s.now - 10, EndpointState.READY, 0, 0))));
        int sent = 0;
        for (int i = 0; i < 400; i++) {
            s.now += 5;
            s.ask(i, 0);
            for (SchedulerAction.StartAttempt x : s.last(SchedulerAction.StartAttempt.class)) {
                sent++;
                s.verdict(x.request(), 0, OK);
                sent += s.last(SchedulerAction.StartAttempt.class).size();
            }
        }
        return sent;
    }

    @Test
    public void keysRunOneAtATimeInOrderAndRestAfterDoubt() {
        Scene s = new Scene(Scene.settings(Scene.load())).engines(1, 2, 3);
        s.ask(1, 0, 77, 500, 9000).ask(2, 0, 77, 500, 9000).ask(3, 0, 77, 500, 9000);
        assertThat(s.all(SchedulerAction.StartAttempt.class))
                .extracting(SchedulerAction.StartAttempt::request)
                .containsExactly(1L);
        s.verdict(1, 0, OK);
        assertThat(s.last(SchedulerAction.StartAttempt.class))
                .extracting(SchedulerAction.StartAttempt::request)
                .containsExactly(2L);
        s.verdict(2, 0, RESET);
        assertThat(s.pass(475).last(SchedulerAction.StartAttempt.class)).isEmpty();
        assertThat(s.pass(50).last(SchedulerAction.StartAttempt.class))
                .extracting(SchedulerAction.StartAttempt::request)
                .containsExactly(3L);
    }

    @Test
    public void aBoundClassIsHeldWhenItsEnginesAreGone() {
        Scene s = new Scene(Scene.settings(Scene.bound(1))).engines(1, 2);
        s.ask(5, 0);
        assertThat(s.all(SchedulerAction.StartAttempt.class)).isEmpty();
        assertThat(s.pass(5000).all(SchedulerAction.StartAttempt.class)).isEmpty();
        assertThat(s.all(SchedulerAction.Reject.class)).hasSize(1);
    }

    @Test
    public void furtherAttemptsStayWithinTheirBudget() {
        SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                1000,
                new SchedulerSettings.SlowStartRule(15000, 0.33, 3, 1000),
                500,
                new SchedulerSettings.RetryBudget(10000, 1, 0.1));
        Scene s = new Scene(Scene.settings(Scene.limits(6), rules, Scene.look())).engines(1, 2, 3);
        int further = 0;
        for (int i = 0; i < 10; i++) {
            s.now += 10;
            s.ask(i, 0);
            s.verdict(i, 0, ERROR);
            further += s.last(SchedulerAction.StartAttempt.class).size();
            s.verdict(i, 1, OK);
        }
        assertThat(further).isBetween(1, 2);
    }

    @Test
    public void neverTwoAttemptsOutTogetherAndNoneAfterTheEnd() {
        Scene s = new Scene(Scene.settings(Scene.look())).engines(1, 2, 3);
        s.ask(5, 0);
        assertThat(s.pass(400).all(SchedulerAction.StartAttempt.class)).hasSize(1);
        s.tell(new SchedulerEvent.RequestCancelled(5));
        s.verdict(5, 0, CANCELLED);
        assertThat(s.pass(3000).all(SchedulerAction.StartAttempt.class)).hasSize(1);
        assertThat(s.all(SchedulerAction.Reject.class)).isEmpty();
        assertThat(s.all(SchedulerAction.Fail.class)).isEmpty();
    }

    @Test
    public void settingsThatContradictThemselvesAreRefused() {
        assertThatThrownBy(() -> Scene.settings(Scene.bound(5))).hasMessageContaining("unknown kind");
        assertThatThrownBy(() -> Scene.settings()).hasMessageContaining("classes");
    }

    /**
     * Without estimates a class of long requests starts with a high guess, and its mean counts, not its
     * usual: 300 fronts of one request each must not add up to more than a cold engine can take.
     */
    @Test
    public void coldSendsWithoutEstimatesCountTheMeanOfTheirClass() {
        RequestClass report = new RequestClass(
                new RequestClass.Objective(300, 2.5, 15_000, 3, 0.4),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.Workload(false, false, 2));
        int sent = 0;
        for (int i = 0; i < 300; i++) {
            SchedulerSettings one = Scene.settings(report);
            Scene s = new Scene(new SchedulerSettings(
                    one.classes(),
                    one.kinds(),
                    new SchedulerSettings.FleetPosition(2, 0, 300, i),
                    one.limits(),
                    one.rules(),
                    new SchedulerSettings.Reporting(List.of(), false),
                    new SchedulerSettings.Discovery(false, 0, false),
                    Scene.FREE,
                    new SchedulerSettings.Quotas(List.of(), 1)));
            s.tell(new SchedulerEvent.EndpointsChanged(
                    true, List.of(new Endpoint(1, 0, 1, s.now + 2000, EndpointState.READY, 0, 0))));
            s.now += 2010;
            s.ask(1, 0, 0, 0, 15_000);
            sent += s.last(SchedulerAction.StartAttempt.class).size();
        }
        // 3 x 0.33 x 8 cores x 1 s hold 7,900 ms; a request of 15 s patience may well take 3,750 ms or more.
        assertThat(sent).isLessThanOrEqualTo(1);
    }

    /** What a front sent before its restart it has forgotten; the engine has not. */
    @Test
    public void aFrontJustStartedSendsNothingToAColdEngineForOneWindow() {
        Scene s = new Scene(Scene.settings(Scene.look()));
        s.tell(new SchedulerEvent.EndpointsChanged(
                true, List.of(new Endpoint(1, 0, 1, s.now - 500, EndpointState.READY, 0, 0))));
        s.ask(1, 0);
        assertThat(s.last(SchedulerAction.StartAttempt.class)).isEmpty();
        assertThat(s.pass(1100).last(SchedulerAction.StartAttempt.class)).hasSize(1);
    }

    /** No budget is left for the relaunch: the attempt on a silent engine goes on, it may yet be answered. */
    @Test
    public void nothingIsCutThatCannotBeSentAgain() {
        for (int free : new int[] {1, 0}) {
            SchedulerSettings.Rules rules = new SchedulerSettings.Rules(
                    1000,
                    new SchedulerSettings.SlowStartRule(15000, 0.33, 3, 1000),
                    500,
                    new SchedulerSettings.RetryBudget(5000, free, 0));
            SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                    new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                    new SchedulerSettings.AttemptLimits(4, 500, 500),
                    new SchedulerSettings.MemoryLimits(0.4, MemoryShortage.WAIT));
            Scene s = new Scene(Scene.settings(limits, rules, Scene.look())).engines(1, 2, 3);
            s.ask(1, 0).pass(1150);
            assertThat(s.last(SchedulerAction.CancelAttempt.class)).hasSize(free);
        }
    }
}
