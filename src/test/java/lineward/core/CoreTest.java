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
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;
import lineward.scheduling.Scheduler;
import lineward.scheduling.SchedulerAction;
import lineward.scheduling.SchedulerEvent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The core without a wire: tables, deadlines, statements, the planner's bookkeeping. */
public class CoreTest {
    @Test
    public void aStaleIdFindsNothingThoughItsSlotIsInUseAgain() {
        GenerationalTable<String> table = new GenerationalTable<>(1);
        long first = table.add("a");
        assertEquals(table.add("b"), GenerationalTable.FULL);
        table.release(first);
        table.release(first);
        long second = table.add("c");
        assertNotEquals(second, first);
        assertNull(table.get(first));
        assertNull(table.get(GenerationalTable.FULL));
        assertEquals(table.get(second), "c");
        assertEquals(table.size(), 1);
    }

    @Test
    public void deadlinesRunInOrderOnceAndCanBeTakenBack() {
        DeadlineQueue deadlines = new DeadlineQueue();
        List<String> ran = new ArrayList<>();
        deadlines.add(20, at -> ran.add("c"));
        deadlines.add(10, at -> ran.add("a"));
        deadlines.add(10, at -> ran.add("b"));
        deadlines.cancel(deadlines.add(5, at -> ran.add("never")));
        deadlines.cancel(null);
        deadlines.runDue(19);
        assertEquals(ran, List.of("a", "b"));
        deadlines.runDue(20);
        deadlines.runDue(30);
        assertEquals(ran, List.of("a", "b", "c"));
    }

    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {"select * from sales_17.orders", 17},
            {"insert into `sales_3`.t select 1", 3},
            {"select 'sales_4.t' from staging.x join \"sales_5\".y", 5},
            {"select o_9.a from sales_6.orders o_9", 6},
            {"-- from sales_1.t\nselect 1 from b_2.t", 2},
            {"select /* from a_1.t */ 1 # from a_2.t", 0},
            {"update staging.t set a = x_7.b", 7},
            {"select 'it''s from a_1.b', \"q\\\"\" from c_8 . d", 8},
            {"select 1 from t_5", 0},
            {"", 0},
            {"select '", 0},
            {"/*", 0},
            {"`", 0},
            {"x_.y a_1234567.z _5.q", 5},
            {"select " + "'a".repeat(30_000), 0}
        };
    }

    @Test(dataProvider = "statements")
    public void theGroupIsTheNumberOfTheSchema(String statement, int group) {
        assertEquals(TableGroups.of(statement), group);
    }

    /** A module that notes what it hears and says what it is told to. */
    private static final class Script implements Scheduler {
        final List<SchedulerEvent> heard = new ArrayList<>();
        List<SchedulerAction> next = List.of();

        @Override
        public int excludedEngines() {
            return 0;
        }

        @Override
        public List<SchedulerAction> decide(double now, List<? extends SchedulerEvent> events) {
            heard.addAll(events);
            List<SchedulerAction> said = next;
            next = List.of();
            return said;
        }

        <E> E last(Class<E> kind) {
            return heard.stream()
                    .filter(kind::isInstance)
                    .map(kind::cast)
                    .reduce((a, b) -> b)
                    .orElse(null);
        }
    }

    private static final class Silent implements Tracer<String> {
        @Override
        public void requestAdmitted(String exchange) {}

        @Override
        public void attemptStarted(String exchange, int attempt, String engine) {}

        @Override
        public void attemptEnded(String exchange, int attempt, AttemptOutcome outcome) {}

        @Override
        public void requestEnded(String exchange, Ending ending) {}

        @Override
        public void log(String text) {}
    }

    private Script module;
    private Coordinator<String> planner;

    @BeforeMethod
    public void begin() {
        module = new Script();
        planner = new Coordinator<>(module, 2, 6, new Silent());
    }

    private long takeAndSend(double now, double ttl) {
        planner.endpointsChanged(true, List.of(engine("s-1", READY)));
        long id = planner.admit(now, new RequestAttributes(0, 0, ttl, 0, 0, 0, false), "r");
        planner.tick(now);
        module.next = List.of(
                new SchedulerAction.SetResourceLimits(id, 64, 2),
                new SchedulerAction.StartAttempt(
                        id,
                        module.last(SchedulerEvent.EndpointsChanged.class)
                                .endpoints()
                                .get(0)
                                .engine(),
                        0));
        planner.endpointsChanged(false, List.of());
        List<Command<String>> commands = planner.tick(now);
        Command.StartAttempt<String> start = (Command.StartAttempt<String>) commands.get(0);
        assertEquals(
                start,
                new Command.StartAttempt<>(
                        "r", id, 0, "s-1", Math.round(ttl - 10), (long) (ttl - 10) /* start */, 64, 2));
        return id;
    }

    @Test
    public void aRequestIsServedOnceAndItsSlotIsFreeThen() {
        long id = takeAndSend(1000, 500);
        assertEquals(planner.openRequests(), 1);
        assertTrue(planner.attemptEnded(id, 0, OK));
        assertFalse(planner.attemptEnded(id, 0, OK));
        assertEquals(planner.openRequests(), 0);
        planner.cancelRequest(id);
        planner.tick(1001);
        assertTrue(module.last(SchedulerEvent.AttemptEnded.class).requestCompleted());
        assertNull(module.last(SchedulerEvent.RequestCancelled.class));
    }

    @Test
    public void anAttemptTimesOutAheadOfTheClient() {
        long id = takeAndSend(2000, 300);
        planner.tick(2289);
        assertNull(last(TIMEOUT));
        List<Command<String>> commands = planner.tick(2290);
        assertEquals(commands, List.of(new Command.CancelAttempt<>("r", id, 0, "s-1")));
        assertEquals(last(TIMEOUT).request(), id);
        module.next = List.of(new SchedulerAction.Reject(id, 125));
        planner.endpointsChanged(false, List.of());
        assertEquals(planner.tick(2291), List.of(new Command.Reject<>("r", 125)));
    }

    /** Guards against a rerun that overtakes the word to give up: the end is told only some time after it. */
    @Test
    public void aCancelledAttemptEndsOnlyWhenTheWordIsThere() {
        long id = takeAndSend(3000, 5000);
        module.next = Collections.nCopies(2, new SchedulerAction.CancelAttempt(id, 0));
        planner.endpointsChanged(false, List.of());
        assertEquals(planner.tick(3100), List.of(new Command.CancelAttempt<>("r", id, 0, "s-1")));
        planner.tick(3105);
        assertNull(last(CANCELLED));
        planner.tick(3106);
        assertEquals(last(CANCELLED).request(), id);
    }

    @Test
    public void aNoteIsPassedOnOnlyWhileItsAttemptIsOut() {
        long id = takeAndSend(4000, 5000);
        planner.attemptProgressed(id, 0, RATIO_DONE, 0.5);
        planner.attemptProgressed(id, 1, RATIO_DONE, 0.6);
        planner.tick(4001);
        assertEquals(
                module.last(SchedulerEvent.AttemptProgress.class),
                new SchedulerEvent.AttemptProgress(id, 0, RATIO_DONE, 0.5));
        module.next = List.of(new SchedulerAction.CancelAttempt(id, 0));
        planner.endpointsChanged(false, List.of());
        planner.tick(4002);
        planner.attemptProgressed(id, 0, RATIO_DONE, 0.7);
        planner.tick(4003);
        assertEquals(module.last(SchedulerEvent.AttemptProgress.class).amount(), 0.5, "not after a cancel");
    }

    /** One probe an engine at a time; the first answer counts, or its time is up. */
    @Test
    public void aProbeEndsOnceByItsAnswerOrByItsTime() {
        planner.endpointsChanged(true, List.of(engine("s-1", READY)));
        planner.tick(1000);
        long number = module.last(SchedulerEvent.EndpointsChanged.class)
                .endpoints()
                .get(0)
                .engine();
        List<Command<String>> asked = probe(1000, number, number);
        assertEquals(asked, List.of(new Command.CheckHealth<>("s-1")));
        planner.healthCheckCompleted(1040, "s-1", OK, new double[] {3});
        planner.healthCheckCompleted(1050, "s-1", ERROR, new double[0]);
        planner.healthCheckCompleted(1050, "s-2", ERROR, new double[0]);
        planner.tick(2000);
        SchedulerEvent.HealthCheckCompleted first = module.last(SchedulerEvent.HealthCheckCompleted.class);
        assertEquals(first.outcome() + " " + first.latencyMs() + " " + first.loadReport()[0], "OK 40.0 3.0");
        probe(3000, number);
        planner.tick(3249);
        assertEquals(module.last(SchedulerEvent.HealthCheckCompleted.class), first);
        planner.tick(3250);
        assertEquals(module.last(SchedulerEvent.HealthCheckCompleted.class).outcome(), TIMEOUT);
    }

    private List<Command<String>> probe(double now, long... engines) {
        module.next = java.util.Arrays.stream(engines)
                .<SchedulerAction>mapToObj(SchedulerAction.StartHealthCheck::new)
                .toList();
        planner.endpointsChanged(false, List.of());
        return planner.tick(now);
    }

    @Test
    public void enginesThatAreGoneAreForgotten() {
        for (int i = 0; i < 100; i++) {
            planner.endpointsChanged(false, List.of(engine("a" + i, READY)));
            planner.endpointsChanged(false, List.of(engine("a" + i, GONE)));
        }
        assertEquals(planner.listedEngines(), 0);
        planner.endpointsChanged(false, List.of(engine("b", READY)));
        planner.endpointsChanged(true, List.of(engine("c", DRAINING)));
        assertEquals(planner.listedEngines(), 1);
    }

    private static EngineEndpoint engine(String id, EndpointState condition) {
        return new EngineEndpoint(id, "127.0.0.1:1", 0, 1, 0, condition, 0, 0);
    }

    @Test
    public void aTableThatIsFullTakesNothingMore() {
        RequestAttributes demand = new RequestAttributes(0, 0, 100, 0, 0, 0, false);
        long first = planner.admit(0, demand, "a");
        planner.admit(0, demand, "b");
        assertEquals(planner.admit(0, demand, "c"), GenerationalTable.FULL);
        planner.cancelRequest(first);
        assertNotEquals(planner.admit(0, demand, "d"), GenerationalTable.FULL);
    }

    private SchedulerEvent.AttemptEnded last(AttemptOutcome outcome) {
        return module.heard.stream()
                .filter(e -> e instanceof SchedulerEvent.AttemptEnded v && v.outcome() == outcome)
                .map(SchedulerEvent.AttemptEnded.class::cast)
                .reduce((a, b) -> b)
                .orElse(null);
    }
}
