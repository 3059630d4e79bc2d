package lineward.scheduling;

import static lineward.scheduling.TestingScheduler.loadClass;
import static lineward.scheduling.TestingScheduler.lookupClass;
import static lineward.scheduling.TestingScheduler.rules;
import static lineward.scheduling.TestingScheduler.settings;
import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import lineward.scheduling.SchedulerEvent.AttemptEnded;
import lineward.scheduling.SchedulerEvent.AttemptProgress;
import lineward.scheduling.SchedulerEvent.TimerFired;
import org.testng.annotations.Test;

/**
 * Tests attempts that wait at their engine, stragglers of a class without outcomes, and a batch of events
 * after a stall.
 */
public class WaitingAttemptsTest {
    private static TestingScheduler schedulerOfFourEngines(double progressIntervalMs, int maxAttempts) {
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(maxAttempts, 500, progressIntervalMs),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.WAIT));
        SchedulerSettings settings = settings(limits, rules(), lookupClass(), loadClass());
        return new TestingScheduler(settings).listEngines(1, 2, 3, 4);
    }

    /** An engine reports only once that an attempt waits, and is then silent until the attempt runs. */
    @Test
    public void waitingAttemptDoesNotEjectItsEngine() {
        TestingScheduler scheduler = schedulerOfFourEngines(500, 5);
        scheduler.requestArrives(1, 1, 0, 2000, 20000);
        long engine = scheduler.lastStartedEngine();
        scheduler
                .receive(new AttemptProgress(1, 0, ProgressKind.WAITING_FOR_MEMORY, 1))
                .advance(4000);
        assertThat(scheduler.allActions(SchedulerAction.LogMessage.class))
                .noneMatch(log -> log.text().contains(Long.toHexString(engine)));
        assertThat(scheduler.allCancels()).isEmpty();
    }

    @Test
    public void waitingRequestMigratesUpToTwice() {
        TestingScheduler scheduler = schedulerOfFourEngines(500, 6);
        scheduler.requestArrives(1, 0, 0, 200, 5000);
        Set<Long> engines = new HashSet<>(Set.of(scheduler.lastStartedEngine()));
        for (int attempt = 0; attempt < 2; attempt++) {
            scheduler.receive(new AttemptProgress(1, attempt, ProgressKind.WAITING_FOR_MEMORY, 1));
            SchedulerAction.CancelAttempt expected = new SchedulerAction.CancelAttempt(1, attempt);
            assertThat(scheduler.lastCancels()).containsExactly(expected);
            scheduler.attemptEnds(1, attempt, AttemptOutcome.CANCELLED);
            boolean different = engines.add(scheduler.lastStartedEngine());
            assertThat(different).as("each migration uses a different engine").isTrue();
        }
        scheduler.receive(new AttemptProgress(1, 2, ProgressKind.WAITING_FOR_MEMORY, 1));
        assertThat(scheduler.lastCancels())
                .as("a third migration is not allowed")
                .isEmpty();
    }

    @Test
    public void nonIdempotentAndStartedRequestsDoNotMigrate() {
        TestingScheduler scheduler = schedulerOfFourEngines(500, 5);
        scheduler.requestArrives(1, 1, 0, 2000, 20000);
        scheduler.receive(new AttemptProgress(1, 0, ProgressKind.WAITING_FOR_LOAD, 2));
        scheduler.requestArrives(2, 0, 0, 200, 5000);
        scheduler.receive(new AttemptProgress(2, 0, ProgressKind.RATIO_DONE, 0.4));
        scheduler.receive(new AttemptProgress(2, 0, ProgressKind.WAITING_FOR_LOAD, 2));
        assertThat(scheduler.allCancels()).isEmpty();
        assertThat(scheduler.allStarts()).hasSize(2);
    }

    /**
     * A class without outcomes of its own relies on the run times of other classes and on progress reports to
     * detect a straggler.
     */
    @Test
    public void stragglerOfARareClassIsCancelledByTheRunTimesOfAllClasses() {
        RequestClass reportClass = new RequestClass(
                new RequestClass.Objective(3000, 2, 20000, 6, 0.3),
                new RequestClass.Repeatability(Idempotence.IDEMPOTENT, DeduplicationScope.ALL, 0, false),
                new RequestClass.Placement(null, null),
                new RequestClass.ExecutionProfile(false, false, 2));
        SchedulerSettings.Limits limits = new SchedulerSettings.Limits(
                new SchedulerSettings.Capabilities(true, true, false, true, true, true, false),
                new SchedulerSettings.AttemptLimits(5, 500, 1000),
                new SchedulerSettings.MemoryLimits(0.4, MemoryShortageHandling.WAIT));
        SchedulerSettings settings = settings(limits, rules(), lookupClass(), reportClass);
        TestingScheduler scheduler = new TestingScheduler(settings).listEngines(1, 2, 3, 4);
        for (int i = 0; i < 25; i++) {
            scheduler.requestArrives(i, 0).advance(200).attemptEnds(i, 0, AttemptOutcome.OK);
        }
        for (int i = 100; i < 103; i++) {
            scheduler.allActions.clear();
            scheduler
                    .requestArrives(i, 1, 0, 2000, 20000)
                    .advance(1000)
                    .receive(new AttemptProgress(i, 0, ProgressKind.RATIO_DONE, 0.05))
                    .advance(100);
            assertThat(scheduler.allCancels())
                    .as("straggler " + i)
                    .containsExactly(new SchedulerAction.CancelAttempt(i, 0));
            scheduler.attemptEnds(i, 0, AttemptOutcome.CANCELLED);
            scheduler.advance(1000).attemptEnds(i, 1, AttemptOutcome.OK);
        }
    }

    /**
     * After a stall of the process, a batch may contain an overdue timer event before the answers. The sweep
     * must not count their attempts as unanswered.
     */
    @Test
    public void answersOfABatchAreAppliedBeforeAnyDecision() {
        TestingScheduler scheduler = schedulerOfFourEngines(0, 5);
        scheduler.requestArrives(1, 0, 0, 200, 5000).requestArrives(2, 0, 0, 200, 5000);
        scheduler.allActions.clear();
        scheduler.nowMs += 2000;
        scheduler.receive(
                new TimerFired(0),
                new AttemptEnded(1, 0, AttemptOutcome.OK, true, 0, 0, new double[0]),
                new AttemptEnded(2, 0, AttemptOutcome.OK, true, 0, 0, new double[0]));
        assertThat(scheduler.allActions)
                .noneMatch(a -> a instanceof SchedulerAction.CancelAttempt
                        || a instanceof SchedulerAction.Reject
                        || a instanceof SchedulerAction.LogMessage);
    }
}
