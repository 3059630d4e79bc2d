package lineward.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peatwick.Front;

/** The core without a wire: tables, deadlines, statements, the planner's bookkeeping. */
public class CoreTest {
    @Test
    public void aStaleIdFindsNothingThoughItsSlotIsInUseAgain() {
        SlotTable<String> table = new SlotTable<>(1);
        long first = table.add("a");
        assertEquals(table.add("b"), SlotTable.FULL);
        table.release(first);
        table.release(first);
        long second = table.add("c");
        assertNotEquals(second, first);
        assertNull(table.get(first));
        assertNull(table.get(SlotTable.FULL));
        assertEquals(table.get(second), "c");
        assertEquals(table.size(), 1);
    }

    @Test
    public void deadlinesRunInOrderOnceAndCanBeTakenBack() {
        Deadlines deadlines = new Deadlines();
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
    private static final class Script implements Front {
        final List<Event> heard = new ArrayList<>();
        List<Action> next = List.of();

        @Override
        public int avoided() {
            return 0;
        }

        @Override
        public List<Action> decide(double now, List<? extends Event> events) {
            heard.addAll(events);
            List<Action> said = next;
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
        public void requestTaken(String exchange) {}

        @Override
        public void attemptStarted(String exchange, int attempt, String engine) {}

        @Override
        public void attemptEnded(String exchange, int attempt, Front.Outcome outcome) {}

        @Override
        public void requestEnded(String exchange, Ending ending) {}

        @Override
        public void log(String text) {}
    }

    private Script module;
    private Planner<String> planner;

    @BeforeMethod
    public void begin() {
        module = new Script();
        planner = new Planner<>(module, 2, 6, new Silent());
    }

    private long takeAndSend(double now, double ttl) {
        planner.list(true, List.of(engine("s-1", Front.Condition.READY)));
        long id = planner.take(now, new Demand(0, 0, ttl, 0, 0, 0, false), "r");
        planner.tick(now);
        module.next = List.of(
                new Front.SetLimits(id, 64, 2),
                new Front.Send(
                        id, module.last(Front.ListChange.class).engines().get(0).engine(), 0));
        planner.list(false, List.of());
        List<Command<String>> commands = planner.tick(now);
        Command.Start<String> start = (Command.Start<String>) commands.get(0);
        assertEquals(start, new Command.Start<>("r", id, 0, "s-1", Math.round(ttl - 10), (long) (ttl - 10), 64, 2));
        return id;
    }

    @Test
    public void aRequestIsServedOnceAndItsSlotIsFreeThen() {
        long id = takeAndSend(1000, 500);
        assertEquals(planner.open(), 1);
        assertTrue(planner.ended(id, 0, Front.Outcome.OK));
        assertFalse(planner.ended(id, 0, Front.Outcome.OK));
        assertEquals(planner.open(), 0);
        planner.abort(id);
        planner.tick(1001);
        assertTrue(module.last(Front.Verdict.class).ended());
        assertNull(module.last(Front.Aborted.class));
    }

    @Test
    public void anAttemptTimesOutAheadOfTheClient() {
        long id = takeAndSend(2000, 300);
        planner.tick(2289);
        assertNull(last(Front.Outcome.TIMEOUT));
        List<Command<String>> commands = planner.tick(2290);
        assertEquals(commands, List.of(new Command.Stop<>("r", id, 0, "s-1")));
        assertEquals(last(Front.Outcome.TIMEOUT).request(), id);
        module.next = List.of(new Front.Refuse(id, 125));
        planner.list(false, List.of());
        assertEquals(planner.tick(2291), List.of(new Command.Refuse<>("r", 125)));
    }

    /** Guards against a rerun that overtakes the word to give up: the end is told only some time after it. */
    @Test
    public void aCancelledAttemptEndsOnlyWhenTheWordIsThere() {
        long id = takeAndSend(3000, 5000);
        module.next = List.of(new Front.Cancel(id, 0), new Front.Cancel(id, 0));
        planner.list(false, List.of());
        assertEquals(planner.tick(3100), List.of(new Command.Stop<>("r", id, 0, "s-1")));
        planner.tick(3105);
        assertNull(last(Front.Outcome.CANCELLED));
        planner.tick(3106);
        assertEquals(last(Front.Outcome.CANCELLED).request(), id);
    }

    @Test
    public void aNoteIsPassedOnOnlyWhileItsAttemptIsOut() {
        long id = takeAndSend(4000, 5000);
        planner.noted(id, 0, Front.NoteKind.PROGRESS, 0.5);
        planner.noted(id, 1, Front.NoteKind.PROGRESS, 0.6);
        planner.tick(4001);
        assertEquals(module.last(Front.Note.class), new Front.Note(id, 0, Front.NoteKind.PROGRESS, 0.5));
        module.next = List.of(new Front.Cancel(id, 0));
        planner.list(false, List.of());
        planner.tick(4002);
        planner.noted(id, 0, Front.NoteKind.PROGRESS, 0.7);
        planner.tick(4003);
        assertEquals(module.last(Front.Note.class).amount(), 0.5, "none behind the word to give up");
    }

    /** One probe an engine at a time; the first answer counts, or its time is up. */
    @Test
    public void aProbeEndsOnceByItsAnswerOrByItsTime() {
        planner.list(true, List.of(engine("s-1", Front.Condition.READY)));
        planner.tick(1000);
        long number = module.last(Front.ListChange.class).engines().get(0).engine();
        List<Command<String>> asked = probe(1000, number, number);
        assertEquals(asked, List.of(new Command.Probe<>("s-1")));
        planner.probed(1040, "s-1", Front.Outcome.OK, new double[] {3});
        planner.probed(1050, "s-1", Front.Outcome.ERROR, new double[0]);
        planner.probed(1050, "s-2", Front.Outcome.ERROR, new double[0]);
        planner.tick(2000);
        Front.Probed first = module.last(Front.Probed.class);
        assertEquals(first.outcome() + " " + first.latency() + " " + first.report()[0], "OK 40.0 3.0");
        probe(3000, number);
        planner.tick(3249);
        assertEquals(module.last(Front.Probed.class), first);
        planner.tick(3250);
        assertEquals(module.last(Front.Probed.class).outcome(), Front.Outcome.TIMEOUT);
    }

    private List<Command<String>> probe(double now, long... engines) {
        module.next = java.util.Arrays.stream(engines)
                .<Front.Action>mapToObj(Front.Probe::new)
                .toList();
        planner.list(false, List.of());
        return planner.tick(now);
    }

    @Test
    public void enginesThatAreGoneAreForgotten() {
        for (int i = 0; i < 100; i++) {
            planner.list(false, List.of(engine("a" + i, Front.Condition.READY)));
            planner.list(false, List.of(engine("a" + i, Front.Condition.GONE)));
        }
        assertEquals(planner.engines(), 0);
        planner.list(false, List.of(engine("b", Front.Condition.READY)));
        planner.list(true, List.of(engine("c", Front.Condition.DRAINING)));
        assertEquals(planner.engines(), 1);
    }

    private static EngineEntry engine(String id, Front.Condition condition) {
        return new EngineEntry(id, "127.0.0.1:1", 0, 1, 0, condition, 0, 0);
    }

    @Test
    public void aTableThatIsFullTakesNothingMore() {
        Demand demand = new Demand(0, 0, 100, 0, 0, 0, false);
        long first = planner.take(0, demand, "a");
        planner.take(0, demand, "b");
        assertEquals(planner.take(0, demand, "c"), SlotTable.FULL);
        planner.abort(first);
        assertNotEquals(planner.take(0, demand, "d"), SlotTable.FULL);
    }

    private Front.Verdict last(Front.Outcome outcome) {
        return module.heard.stream()
                .filter(e -> e instanceof Front.Verdict v && v.outcome() == outcome)
                .map(Front.Verdict.class::cast)
                .reduce((a, b) -> b)
                .orElse(null);
    }
}
