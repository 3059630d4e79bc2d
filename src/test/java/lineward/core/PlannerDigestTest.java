package lineward.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import peatwick.ActionDigest;
import peatwick.Control;
import peatwick.Front;
import peatwick.Front.Effect;
import peatwick.Front.Outcome;
import peatwick.Front.Scope;

/** Holds every command of the coordinator and its order: digests over seeded days, as recorded of one
 * version. */
public class PlannerDigestTest {
    private static final double STOP_TAKES_MS = 6;
    private static final double TICK_MS = 5;
    private static final int DAY_MS = 12_000;
    private static final int ENGINES = 6;

    private static final class Exchange {
        final int number;

        Exchange(int number) {
            this.number = number;
        }
    }

    private static final class SilentTracer implements Tracer<Exchange> {
        @Override
        public void requestTaken(Exchange exchange) {}

        @Override
        public void attemptStarted(Exchange exchange, int attempt, String engine) {}

        @Override
        public void attemptEnded(Exchange exchange, int attempt, Outcome outcome) {}

        @Override
        public void requestEnded(Exchange exchange, Ending ending) {}

        @Override
        public void log(String text) {}
    }

    private record Due(double at, long order, Runnable step) {}

    @DataProvider
    public Object[][] days() {
        return new Object[][] {
            {2, 1, "8c8552ff22ec6468"},
            {14, 2, "2a99af876d5391f2"},
            {100, 3, "877eabd3d1fe7a08"},
        };
    }

    @Test(dataProvider = "days")
    public void theCommandsOfADayAreThoseRecorded(int fronts, long seed, String recorded) {
        Day day = new Day(fronts, seed);
        String digest = day.play();
        assertTrue(day.commands > 500, "only " + day.commands + " commands");
        assertEquals(digest, recorded);
    }

    private static final class Day {
        private final Random random;
        private final Planner<Exchange> planner;
        private final ActionDigest digest = new ActionDigest();
        private final PriorityQueue<Due> queue = new PriorityQueue<>(
                (a, b) -> a.at() != b.at() ? Double.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
        private final List<Long> taken = new ArrayList<>();
        private long order;
        private double now = 1_000;
        private int commands;

        Day(int fronts, long seed) {
            random = new Random(seed);
            planner = new Planner<>(new Control(settings(fronts), seed), 64, STOP_TAKES_MS, new SilentTracer());
        }

        String play() {
            planner.list(true, engines(Front.Condition.READY));
            scheduleDay();
            for (double end = now + DAY_MS + 8_000; now < end; now += TICK_MS) {
                while (!queue.isEmpty() && queue.peek().at() <= now) {
                    queue.poll().step().run();
                }
                planner.tick(now).forEach(this::carryOut);
                digest.add('N', planner.open(), planner.engines(), planner.avoided(), planner.hasNews() ? 1 : 0);
            }
            return digest.toHex();
        }

        private void schedule(double at, Runnable step) {
            queue.add(new Due(at, order++, step));
        }

        private void scheduleDay() {
            for (int i = 0; i < 600; i++) {
                int number = i;
                schedule(now + random.nextInt(DAY_MS), () -> admit(number));
            }
            for (int i = 0; i < 40; i++) {
                schedule(now + random.nextInt(DAY_MS), this::abortOne);
                schedule(now + random.nextInt(DAY_MS), () -> planner.heard(1, new byte[] {1, 2, 3, 4, 5, 6, 7, 8}));
            }
            for (int i = 0; i < 10; i++) {
                Front.Condition condition = Front.Condition.values()[random.nextInt(3)];
                EngineEntry entry = engines(condition).get(random.nextInt(ENGINES));
                double at = now + random.nextInt(DAY_MS);
                schedule(at, () -> planner.list(false, List.of(entry)));
                schedule(at + 800, () -> planner.list(true, engines(Front.Condition.READY)));
            }
            schedule(now + 4_000, () -> planner.holdOut("engine-1", true, now));
            schedule(now + 5_000, () -> planner.holdOut("engine-1", false, now));
            schedule(now + 6_000, () -> planner.part(0.5));
            schedule(now + 9_000, () -> planner.endAt(now + 1_500));
            schedule(now + 10_000, planner::failAll);
        }

        private void admit(int number) {
            double timeLeft = random.nextInt(20) == 0 ? 3 : 500 + random.nextInt(3_000);
            double cost = random.nextInt(3) == 0 ? 0 : 50 + random.nextInt(400);
            Demand demand = new Demand(
                    random.nextInt(3),
                    random.nextInt(2),
                    timeLeft,
                    cost,
                    random.nextInt(900),
                    random.nextInt(5),
                    random.nextInt(8) == 0);
            long id = planner.take(now, demand, new Exchange(number));
            digest.add('I', id);
            if (id != SlotTable.FULL) {
                taken.add(id);
            }
        }

        private void abortOne() {
            if (!taken.isEmpty()) {
                planner.abort(taken.get(random.nextInt(taken.size())));
            }
        }

        private void carryOut(Command<Exchange> command) {
            commands++;
            if (command instanceof Command.Start<Exchange> c) {
                digest.add(
                        'S',
                        c.exchange().number,
                        c.request(),
                        c.attempt(),
                        engineNumber(c.engine()),
                        c.patienceMs(),
                        c.beginWithinMs(),
                        c.grantMb(),
                        c.priority());
                start(c);
            } else if (command instanceof Command.Stop<Exchange> c) {
                digest.add('C', c.exchange().number, c.request(), c.attempt(), engineNumber(c.engine()));
                schedule(now + random.nextInt(12), () -> end(c.request(), c.attempt(), Outcome.CANCELLED));
            } else if (command instanceof Command.Refuse<Exchange> c) {
                digest.add('R', c.exchange().number, c.retryAfterMs());
            } else if (command instanceof Command.Fail<Exchange> c) {
                digest.add('F', c.exchange().number);
            } else if (command instanceof Command.Reprioritise<Exchange> c) {
                digest.add('Q', c.exchange().number, c.request(), c.attempt(), c.priority());
            } else if (command instanceof Command.Probe<Exchange> c) {
                digest.add('P', engineNumber(c.engine()));
                answerProbe(c.engine());
            } else if (command instanceof Command.Announce<Exchange> c) {
                digest.add('A', c.octets());
            }
        }

        private void start(Command.Start<Exchange> c) {
            double service = 20 + random.nextInt(random.nextInt(10) == 0 ? 4_000 : 300);
            Outcome[] outcomes = {
                Outcome.OK,
                Outcome.OK,
                Outcome.OK,
                Outcome.OK,
                Outcome.ERROR,
                Outcome.FULL,
                Outcome.CONNECT_FAILED,
                Outcome.RESET
            };
            Outcome outcome = outcomes[random.nextInt(outcomes.length)];
            if (random.nextInt(4) == 0) {
                schedule(
                        now + service / 2, () -> planner.noted(c.request(), c.attempt(), Front.NoteKind.PROGRESS, 0.5));
            }
            if (random.nextInt(10) == 0) {
                schedule(now + service - 1, () -> digest.add('O', planner.opened(c.request(), c.attempt()) ? 1 : 0));
            }
            schedule(now + service, () -> end(c.request(), c.attempt(), outcome));
        }

        private void end(long request, int attempt, Outcome outcome) {
            digest.add('E', planner.ended(request, attempt, outcome) ? 1 : 0);
        }

        private void answerProbe(String engine) {
            double[] report = {random.nextInt(6), random.nextDouble()};
            schedule(now + random.nextInt(400), () -> planner.probed(now, engine, Outcome.OK, report));
        }

        private static int engineNumber(String engine) {
            return Integer.parseInt(engine.substring("engine-".length()));
        }

        private static List<EngineEntry> engines(Front.Condition condition) {
            List<EngineEntry> entries = new ArrayList<>();
            for (int i = 0; i < ENGINES; i++) {
                entries.add(new EngineEntry("engine-" + i, "127.0.0.1:1", i % 2, 1, 0, condition, i % 2, 0));
            }
            return entries;
        }

        private static Front.Settings settings(int fronts) {
            Front.RequestClass look = new Front.RequestClass(
                    800, 1, 4_000, 1, 0, Effect.SAFE, Scope.ALL, 0, false, null, null, false, true, 1);
            Front.RequestClass load = new Front.RequestClass(
                    2_000, 2, 6_000, 3, 0.5, Effect.UNSAFE, Scope.ALL, 0, false, null, null, true, false, 2);
            Front.RequestClass keyed = new Front.RequestClass(
                    900, 1, 4_000, 2, 0, Effect.KEYED, Scope.ALL, 900, false, null, null, false, true, 1);
            Front.Limits limits =
                    new Front.Limits(true, true, false, true, 500, 4, true, true, 0.4, Front.WhenShort.WAIT, 400, true);
            Front.Rules rules = new Front.Rules(1_000, 5_000, 0.3, 3, 1_000, 300, 5_000, 3, 0.2);
            return new Front.Settings(
                    List.of(look, load, keyed),
                    List.of(new Front.Kind(8, 16_000), new Front.Kind(4, 8_000)),
                    2,
                    0,
                    fronts,
                    0,
                    limits,
                    rules,
                    List.of(Front.ReportField.IN_HAND, Front.ReportField.MEMORY),
                    false,
                    false,
                    0,
                    false,
                    new Front.Prices(0.001, 0.0001),
                    List.of(),
                    1);
        }
    }
}
