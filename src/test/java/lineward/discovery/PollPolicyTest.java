package lineward.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Seeded days of reloads, broken files and faulty services in simulated time: none may leave it deaf. */
public class PollPolicyTest {
    private static final double MOST_DEAF = 2000;
    private static final double STEP = 5;

    private enum Mode {
        HEALTHY,
        REFUSES,
        SILENT,
        CLOSES,
        DRIBBLES
    }

    /** One service: what it does to connections; one that met a fault keeps it. */
    private static final class Service {
        Mode mode = Mode.HEALTHY;
        final Map<Integer, Mode> open = new HashMap<>();
    }

    private static final class World {
        final Random random;
        final Map<String, Service> services = new HashMap<>();
        final TreeMap<Double, List<Runnable>> due = new TreeMap<>();
        final PollPolicy policy;
        final Map<Integer, String> calls = new HashMap<>();
        final Map<Integer, Boolean> asked = new HashMap<>();
        final boolean eager;
        String file;
        double now;
        double hearable;
        double heard;
        double worst;
        int connects;
        int looks;

        World(long seed, boolean eager) {
            random = new Random(seed);
            this.eager = eager;
            for (String name : List.of("a:1", "b:1", "c:1")) {
                services.put(name, new Service());
            }
            file = "a:1";
            policy = new PollPolicy("a:1", 0);
        }

        void at(double when, Runnable task) {
            due.computeIfAbsent(when, t -> new ArrayList<>()).add(task);
        }

        /** A reload as the platform makes it: the file changes, the old service falls silent and closes. */
        void reload(double when, boolean told) {
            String target = List.of("a:1", "b:1", "c:1").get(random.nextInt(3));
            double broken = random.nextInt(3) == 0 ? random.nextDouble() * 3000 : 0;
            double signal = when + (random.nextInt(4) == 0 ? -200 * random.nextDouble() : 0);
            at(when - 1, () -> file = null);
            if (told) {
                at(signal, () -> policy.reloadAddress(now));
            }
            at(when + broken, () -> {
                String old = file == null ? policy.address() : file;
                file = target;
                services.get(target).mode = Mode.HEALTHY;
                if (!old.equals(target)) {
                    fault(old, Mode.SILENT);
                    at(now + 1500, () -> closeAll(old));
                }
            });
        }

        void fault(String name, Mode mode) {
            services.get(name).mode = mode;
            services.get(name).open.replaceAll((call, was) -> mode);
            if (mode == Mode.REFUSES || mode == Mode.CLOSES) {
                closeAll(name);
            }
        }

        /** A service that the file does not name has moved away: it does not come back. */
        void heal(String name) {
            if (name.equals(file)) {
                services.get(name).mode = Mode.HEALTHY;
            }
        }

        private void closeAll(String name) {
            for (int call : List.copyOf(services.get(name).open.keySet())) {
                end(name, call);
            }
        }

        private void end(String name, int call) {
            services.get(name).open.remove(call);
            calls.remove(call);
            policy.ended(call, "closed", now);
        }

        void run(double until) {
            for (now = 0; now < until; now += STEP) {
                while (!due.isEmpty() && due.firstKey() <= now) {
                    due.pollFirstEntry().getValue().forEach(Runnable::run);
                }
                perform(policy.tick(now));
                measure();
            }
        }

        /** Whoever has a poll waiting at a healthy service would be told at once. */
        private void measure() {
            boolean can = file != null && services.get(file).mode == Mode.HEALTHY;
            boolean hears = can
                    && calls.entrySet().stream()
                            .anyMatch(e -> e.getValue().equals(file)
                                    && asked.getOrDefault(e.getKey(), false)
                                    && services.get(file).open.get(e.getKey()) == Mode.HEALTHY);
            hearable = can ? hearable : now;
            heard = hears ? now : heard;
            worst = Math.max(worst, now - Math.max(heard, hearable));
        }

        private void perform(List<PollPolicy.Step> steps) {
            for (PollPolicy.Step step : steps) {
                if (step instanceof PollPolicy.Connect s) {
                    connects++;
                    calls.put(s.call(), s.address());
                    at(now + 1 + random.nextInt(20), () -> arrive(s.call(), s.address()));
                } else if (step instanceof PollPolicy.Ask s) {
                    asked.put(s.call(), true);
                    at(now + (eager ? 5 : PollPolicy.MAX_WAIT_MS), () -> answer(s.call()));
                } else if (step instanceof PollPolicy.Drop s) {
                    services.get(calls.remove(s.call())).open.remove(s.call());
                } else if (step instanceof PollPolicy.Look) {
                    looks++;
                    String seen = file;
                    at(now + 1 + random.nextInt(10), () -> {
                        if (seen == null) {
                            policy.fileUnreadable(now);
                        } else {
                            perform(policy.fileRead(seen, now));
                        }
                    });
                }
            }
            assertTrue(calls.size() <= PollPolicy.MOST_CALLS, "connections: " + calls);
        }

        private void arrive(int call, String address) {
            Service service = services.get(address);
            if (!policy.counts(call)) {
                return;
            }
            if (service.mode == Mode.REFUSES) {
                end(address, call);
                return;
            }
            service.open.put(call, service.mode);
            perform(policy.connected(call, now));
            if (service.mode == Mode.CLOSES) {
                end(address, call);
            }
        }

        private void answer(int call) {
            String address = calls.get(call);
            if (address != null && services.get(address).open.get(call) == Mode.HEALTHY) {
                asked.put(call, false);
                perform(policy.answered(call, false, now));
            }
        }
    }

    @Test
    public void noneOfTwoHundredSeededSchedulesLeavesItDeaf() {
        double worst = 0;
        for (int seed = 0; seed < 200; seed++) {
            World world = new World(seed, seed % 5 == 0);
            if (seed % 3 == 0) {
                world.services.get("a:1").mode = Mode.values()[1 + world.random.nextInt(4)];
                world.at(500 + world.random.nextInt(4000), () -> world.heal("a:1"));
            }
            for (double when = 1000; when < 40_000; when += 1000 + world.random.nextInt(6000)) {
                if (world.random.nextBoolean()) {
                    world.reload(when, true);
                } else {
                    String name = List.of("a:1", "b:1", "c:1").get(world.random.nextInt(3));
                    Mode mode = Mode.values()[1 + world.random.nextInt(4)];
                    double start = when;
                    world.at(start, () -> world.fault(name, mode));
                    world.at(start + world.random.nextInt(5000), () -> world.heal(name));
                }
            }
            world.run(50_000);
            worst = Math.max(worst, world.worst);
            assertTrue(world.worst <= MOST_DEAF, "seed " + seed + ": deaf for " + world.worst + " ms");
            assertTrue(
                    world.connects + world.looks < 1500,
                    "seed " + seed + " tries " + world.connects + " times and looks " + world.looks + " times");
        }
        assertTrue(worst > 500, "the schedules hold faults at all");
    }

    /** A file that appears long after its signal, or with none, is found by the old service's silence. */
    @Test
    public void aFileThatCameWithoutASignalIsFound() {
        for (int seed = 0; seed < 20; seed++) {
            World world = new World(seed, false);
            world.reload(3000, false);
            world.reload(9000, false);
            world.run(20_000);
            assertTrue(world.worst <= MOST_DEAF, "seed " + seed + ": deaf for " + world.worst + " ms");
        }
    }

    @DataProvider
    public Object[][] faults() {
        return new Object[][] {{Mode.REFUSES}, {Mode.SILENT}, {Mode.CLOSES}, {Mode.DRIBBLES}};
    }

    @Test(dataProvider = "faults")
    public void faultsAreToldEachSecondAndTheFileIsLookedAt(Mode mode) {
        World world = new World(1, false);
        world.at(1000, () -> world.fault("a:1", mode));
        List<Double> told = new ArrayList<>();
        for (world.now = 0; world.now < 10_000; world.now += STEP) {
            while (!world.due.isEmpty() && world.due.firstKey() <= world.now) {
                world.due.pollFirstEntry().getValue().forEach(Runnable::run);
            }
            List<PollPolicy.Step> steps = world.policy.tick(world.now);
            steps.stream().filter(s -> s instanceof PollPolicy.Complain).forEach(s -> told.add(world.now));
            world.perform(steps);
        }
        assertTrue(told.size() >= 7 && told.size() <= 8, told.toString());
        assertTrue(world.looks > 20 && world.looks < 50, world.looks + " looks");
    }

    @Test
    public void aSlowServiceIsHeardAllTheSame() {
        PollPolicy policy = new PollPolicy("a:1", 0);
        policy.tick(0);
        policy.connected(1, 1);
        policy.tick(1800);
        policy.connected(2, 1801);
        assertEquals(policy.answered(1, true, 2500), List.of(new PollPolicy.Drop(2), new PollPolicy.Ask(1)));
        assertEquals(policy.age(2600), 100.0);
    }
}
