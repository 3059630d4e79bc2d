package lineward.core;

import static lineward.scheduling.AttemptOutcome.CANCELLED;
import static lineward.scheduling.AttemptOutcome.ERROR;
import static lineward.scheduling.AttemptOutcome.OK;
import static lineward.scheduling.AttemptOutcome.TIMEOUT;
import static lineward.scheduling.EndpointState.DRAINING;
import static lineward.scheduling.EndpointState.GONE;
import static lineward.scheduling.EndpointState.READY;
import static lineward.scheduling.ProgressKind.RATIO_DONE;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.stream.LongStream;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;
import lineward.scheduling.Scheduler;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests, attempts, timeouts, health checks and engines with a scripted scheduler. */
public class CoordinatorTest {
    /** Records all events and returns the actions that the test has prepared. */
    private static final class ScriptedScheduler implements Scheduler {
        final List<SchedulerEvent> events = new ArrayList<>();
        List<SchedulerAction> nextActions = List.of();

        @Override
        public int excludedEngineCount() {
            return 0;
        }

        @Override
        public List<SchedulerAction> decide(double nowMs, List<? extends SchedulerEvent> batch) {
            events.addAll(batch);
            List<SchedulerAction> actions = nextActions;
            nextActions = List.of();
            return actions;
        }

        <E> E lastEventOfType(Class<E> type) {
            return events.stream()
                    .filter(type::isInstance)
                    .map(type::cast)
                    .reduce((earlier, later) -> later)
                    .orElse(null);
        }
    }

    private ScriptedScheduler scheduler;
    private Coordinator<String> coordinator;

    @BeforeMethod
    public void createCoordinator() {
        scheduler = new ScriptedScheduler();
        coordinator = new Coordinator<>(scheduler, 2, 6, new NoOpTracer<>());
    }

    private long admitAndStart(double nowMs, double timeLeftMs) {
        coordinator.endpointsChanged(true, List.of(endpoint("s-1", READY)));
        long id = coordinator.admit(nowMs, new RequestAttributes(0, 0, timeLeftMs, 0, 0, 0, false), "r");
        coordinator.tick(nowMs);
        scheduler.nextActions = List.of(
                new SchedulerAction.SetResourceLimits(id, 64, 2),
                new SchedulerAction.StartAttempt(
                        id,
                        scheduler
                                .lastEventOfType(SchedulerEvent.EndpointsChanged.class)
                                .endpoints()
                                .get(0)
                                .engine(),
                        0));
        coordinator.endpointsChanged(false, List.of());
        List<Command<String>> commands = coordinator.tick(nowMs);
        Command.StartAttempt<String> start = (Command.StartAttempt<String>) commands.get(0);
        assertEquals(
                start,
                new Command.StartAttempt<>(
                        "r", id, 0, "s-1", Math.round(timeLeftMs - 10), (long) (timeLeftMs - 10), 64, 2));
        return id;
    }

    @Test
    public void requestIsServedOnceAndThenReleasesItsSlot() {
        long id = admitAndStart(1000, 500);
        assertEquals(coordinator.openRequestCount(), 1);
        assertTrue(coordinator.attemptEnded(id, 0, OK));
        assertFalse(coordinator.attemptEnded(id, 0, OK));
        assertEquals(coordinator.openRequestCount(), 0);
        coordinator.cancelRequest(id);
        coordinator.tick(1001);
        assertTrue(scheduler.lastEventOfType(SchedulerEvent.AttemptEnded.class).requestCompleted());
        assertNull(scheduler.lastEventOfType(SchedulerEvent.RequestCancelled.class));
    }

    @Test
    public void attemptTimesOutBeforeTheDeadlineOfItsRequest() {
        long id = admitAndStart(2000, 300);
        coordinator.tick(2289);
        assertNull(lastAttemptEnded(TIMEOUT));
        List<Command<String>> commands = coordinator.tick(2290);
        assertEquals(commands, List.of(new Command.CancelAttempt<>("r", id, 0, "s-1")));
        assertEquals(lastAttemptEnded(TIMEOUT).requestId(), id);
        scheduler.nextActions = List.of(new SchedulerAction.Reject(id, 125));
        coordinator.endpointsChanged(false, List.of());
        assertEquals(coordinator.tick(2291), List.of(new Command.Reject<>("r", 125)));
    }

    @Test
    public void requestFailsIfItsRespondingAttemptFails() {
        long id = admitAndStart(2000, 300);
        assertTrue(coordinator.responseStarted(id, 0));
        assertEquals(coordinator.tick(2299), List.of(), "no timeout once the response has started");
        assertFalse(coordinator.attemptEnded(id, 0, ERROR));
        assertFalse(coordinator.responseStarted(id, 0));
        assertEquals(coordinator.openRequestCount(), 0);
        coordinator.tick(2300);
        assertTrue(lastAttemptEnded(ERROR).requestCompleted());
    }

    /** The end is recorded after the cancel timeout only, so that a relaunch can't overtake the cancel. */
    @Test
    public void cancelledAttemptEndsAfterTheCancelTimeout() {
        long id = admitAndStart(3000, 5000);
        scheduler.nextActions = Collections.nCopies(2, new SchedulerAction.CancelAttempt(id, 0));
        coordinator.endpointsChanged(false, List.of());
        assertEquals(coordinator.tick(3100), List.of(new Command.CancelAttempt<>("r", id, 0, "s-1")));
        coordinator.tick(3105);
        assertNull(lastAttemptEnded(CANCELLED));
        coordinator.tick(3106);
        assertEquals(lastAttemptEnded(CANCELLED).requestId(), id);
    }

    @Test
    public void progressIsReportedOnlyWhileItsAttemptIsRunning() {
        long id = admitAndStart(4000, 5000);
        coordinator.attemptProgressed(id, 0, RATIO_DONE, 0.5);
        coordinator.attemptProgressed(id, 1, RATIO_DONE, 0.6);
        coordinator.tick(4001);
        assertEquals(
                scheduler.lastEventOfType(SchedulerEvent.AttemptProgress.class),
                new SchedulerEvent.AttemptProgress(id, 0, RATIO_DONE, 0.5));
        scheduler.nextActions = List.of(new SchedulerAction.CancelAttempt(id, 0));
        coordinator.endpointsChanged(false, List.of());
        coordinator.tick(4002);
        coordinator.attemptProgressed(id, 0, RATIO_DONE, 0.7);
        coordinator.tick(4003);
        double lastAmount =
                scheduler.lastEventOfType(SchedulerEvent.AttemptProgress.class).amount();
        assertEquals(lastAmount, 0.5, "progress after the cancel is ignored");
    }

    /** At most one check per engine is in flight. It ends with the first result or with the timeout. */
    @Test
    public void healthCheckEndsOnceWithItsResultOrTimeout() {
        coordinator.endpointsChanged(true, List.of(endpoint("s-1", READY)));
        coordinator.tick(1000);
        long engineNumber = lastEngineNumber();
        List<Command<String>> commands = startHealthChecks(1000, engineNumber, engineNumber);
        assertEquals(commands, List.of(new Command.CheckHealth<>("s-1", 1)));
        coordinator.healthCheckCompleted(1040, "s-1", 1, OK, new double[] {3});
        coordinator.healthCheckCompleted(1050, "s-1", 1, ERROR, new double[0]);
        coordinator.healthCheckCompleted(1050, "s-2", 1, ERROR, new double[0]);
        coordinator.tick(2000);
        SchedulerEvent.HealthCheckCompleted first =
                scheduler.lastEventOfType(SchedulerEvent.HealthCheckCompleted.class);
        assertEquals(first.outcome() + " " + first.latencyMs() + " " + first.loadReport()[0], "OK 40.0 3.0");
        startHealthChecks(3000, engineNumber);
        coordinator.tick(3249);
        assertEquals(scheduler.lastEventOfType(SchedulerEvent.HealthCheckCompleted.class), first);
        coordinator.tick(3250);
        assertEquals(
                scheduler
                        .lastEventOfType(SchedulerEvent.HealthCheckCompleted.class)
                        .outcome(),
                TIMEOUT);
    }

    private long lastEngineNumber() {
        return scheduler
                .lastEventOfType(SchedulerEvent.EndpointsChanged.class)
                .endpoints()
                .get(0)
                .engine();
    }

    /** Guards against an engine that counts as healthy because it answers an earlier check. */
    @Test
    public void ignoresTheLateResultOfAnEarlierHealthCheck() {
        coordinator.endpointsChanged(true, List.of(endpoint("s-1", READY)));
        coordinator.tick(1000);
        long engineNumber = lastEngineNumber();
        startHealthChecks(1000, engineNumber);
        coordinator.tick(1250);
        List<Command<String>> second = startHealthChecks(1300, engineNumber);
        assertEquals(second, List.of(new Command.CheckHealth<>("s-1", 2)));
        coordinator.healthCheckCompleted(1301, "s-1", 1, OK, new double[0]);
        coordinator.tick(1302);
        assertEquals(lastHealthCheck().outcome(), TIMEOUT, "the second check is still in flight");
        coordinator.healthCheckCompleted(1310, "s-1", 2, OK, new double[0]);
        coordinator.tick(1311);
        assertEquals(lastHealthCheck().outcome() + " " + lastHealthCheck().latencyMs(), "OK 10.0");
    }

    private SchedulerEvent.HealthCheckCompleted lastHealthCheck() {
        return scheduler.lastEventOfType(SchedulerEvent.HealthCheckCompleted.class);
    }

    private List<Command<String>> startHealthChecks(double nowMs, long... engineNumbers) {
        scheduler.nextActions = LongStream.of(engineNumbers)
                .<SchedulerAction>mapToObj(SchedulerAction.StartHealthCheck::new)
                .toList();
        coordinator.endpointsChanged(false, List.of());
        return coordinator.tick(nowMs);
    }

    @Test
    public void goneEnginesAreNoLongerListed() {
        for (int i = 0; i < 100; i++) {
            coordinator.endpointsChanged(false, List.of(endpoint("a" + i, READY)));
            coordinator.endpointsChanged(false, List.of(endpoint("a" + i, GONE)));
        }
        assertEquals(coordinator.listedEngineCount(), 0);
        coordinator.endpointsChanged(false, List.of(endpoint("b", READY)));
        coordinator.endpointsChanged(true, List.of(endpoint("c", DRAINING)));
        assertEquals(coordinator.listedEngineCount(), 1);
    }

    private static EngineEndpoint endpoint(String id, EndpointState state) {
        return new EngineEndpoint(id, "127.0.0.1:1", 0, 1, 0, state, 0, 0);
    }

    @Test
    public void fullTableAdmitsNoRequestUntilOneIsReleased() {
        RequestAttributes attributes = new RequestAttributes(0, 0, 100, 0, 0, 0, false);
        long firstId = coordinator.admit(0, attributes, "a");
        coordinator.admit(0, attributes, "b");
        assertEquals(coordinator.admit(0, attributes, "c"), GenerationalTable.FULL);
        coordinator.cancelRequest(firstId);
        assertNotEquals(coordinator.admit(0, attributes, "d"), GenerationalTable.FULL);
    }

    private SchedulerEvent.AttemptEnded lastAttemptEnded(AttemptOutcome outcome) {
        return scheduler.events.stream()
                .filter(SchedulerEvent.AttemptEnded.class::isInstance)
                .map(SchedulerEvent.AttemptEnded.class::cast)
                .filter(ended -> ended.outcome() == outcome)
                .reduce((earlier, later) -> later)
                .orElse(null);
    }
}
