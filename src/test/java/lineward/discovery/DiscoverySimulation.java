package lineward.discovery;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/**
 * Runs a poll policy in simulated time, with three services that fail and a configuration file that contains
 * the address of one of them. Measures the longest time without a poll at that service while the file is
 * complete and the service is healthy.
 */
final class DiscoverySimulation implements PollStep.Handler {
    private static final List<String> ADDRESSES = List.of("a:1", "b:1", "c:1");
    private static final double STEP_MS = 5;

    enum Behavior {
        HEALTHY,
        REFUSES_CONNECTIONS,
        NEVER_RESPONDS,
        CLOSES_IMMEDIATELY,
        SENDS_SLOWLY
    }

    /**
     * One service and its behaviour. A connection that is open when a fault begins keeps the fault until the
     * connection is closed.
     */
    static final class Service {
        Behavior behavior = Behavior.HEALTHY;
        final Map<Integer, Behavior> open = new HashMap<>();
    }

    final Random random;
    final Map<String, Service> services = new HashMap<>();
    final TreeMap<Double, List<Runnable>> tasks = new TreeMap<>();
    final PollPolicy policy;
    final Map<Integer, String> connections = new HashMap<>();
    final Map<Integer, Boolean> polling = new HashMap<>();
    final boolean answersAtOnce;
    String file;
    double nowMs;
    double availableSinceMs;
    double polledAtMs;
    double longestUnpolledMs;
    int connects;
    int fileReads;
    final List<Double> warningsAtMs = new ArrayList<>();

    DiscoverySimulation(long seed, boolean answersAtOnce) {
        random = new Random(seed);
        this.answersAtOnce = answersAtOnce;
        for (String name : ADDRESSES) {
            services.put(name, new Service());
        }
        file = "a:1";
        policy = new PollPolicy("a:1", 0);
    }

    String randomAddress() {
        return ADDRESSES.get(random.nextInt(ADDRESSES.size()));
    }

    /** Returns a random behaviour other than {@link Behavior#HEALTHY}. */
    Behavior randomFault() {
        Behavior[] all = Behavior.values();
        return all[1 + random.nextInt(all.length - 1)];
    }

    void at(double atMs, Runnable task) {
        tasks.computeIfAbsent(atMs, key -> new ArrayList<>()).add(task);
    }

    /**
     * Schedules a reload. The file is missing for up to 3 s and then has the address of a healthy service; if
     * that is another one, the old service stops responding and closes its connections 1.5 s later. SIGHUP,
     * if it is sent, comes at the given time or up to 200 ms earlier.
     */
    void reload(double atMs, boolean signalled) {
        String target = randomAddress();
        double brokenMs = random.nextInt(3) == 0 ? random.nextDouble() * 3000 : 0;
        double signalAtMs = atMs + (random.nextInt(4) == 0 ? -200 * random.nextDouble() : 0);
        at(atMs - 1, () -> file = null);
        if (signalled) {
            at(signalAtMs, () -> policy.reloadAddress(nowMs));
        }
        at(atMs + brokenMs, () -> {
            String old = file == null ? policy.address() : file;
            file = target;
            services.get(target).behavior = Behavior.HEALTHY;
            if (!old.equals(target)) {
                fault(old, Behavior.NEVER_RESPONDS);
                at(nowMs + 1500, () -> closeAll(old));
            }
        });
    }

    void fault(String name, Behavior behavior) {
        services.get(name).behavior = behavior;
        services.get(name).open.replaceAll((connection, was) -> behavior);
        if (behavior == Behavior.REFUSES_CONNECTIONS || behavior == Behavior.CLOSES_IMMEDIATELY) {
            closeAll(name);
        }
    }

    /** Makes the service healthy if the file has its address; otherwise it has moved and stays faulty. */
    void heal(String name) {
        if (name.equals(file)) {
            services.get(name).behavior = Behavior.HEALTHY;
        }
    }

    private void closeAll(String name) {
        for (int connection : List.copyOf(services.get(name).open.keySet())) {
            end(name, connection);
        }
    }

    private void end(String name, int connection) {
        services.get(name).open.remove(connection);
        connections.remove(connection);
        policy.failed(connection, PollFault.CONNECTION_CLOSED, nowMs);
    }

    void run(double endMs) {
        for (nowMs = 0; nowMs < endMs; nowMs += STEP_MS) {
            runDueTasks();
            perform(policy.tick(nowMs));
            measure();
        }
    }

    private void runDueTasks() {
        while (!tasks.isEmpty() && tasks.firstKey() <= nowMs) {
            tasks.pollFirstEntry().getValue().forEach(Runnable::run);
        }
    }

    /**
     * Updates the longest time without a poll at the service in the file while it is healthy. No event can be
     * received in that time.
     */
    private void measure() {
        boolean available = file != null && services.get(file).behavior == Behavior.HEALTHY;
        boolean polled = available && connections.keySet().stream().anyMatch(this::isPollAtNamedService);
        availableSinceMs = available ? availableSinceMs : nowMs;
        polledAtMs = polled ? nowMs : polledAtMs;
        longestUnpolledMs = Math.max(longestUnpolledMs, nowMs - Math.max(polledAtMs, availableSinceMs));
    }

    private boolean isPollAtNamedService(int connection) {
        return connections.get(connection).equals(file)
                && polling.getOrDefault(connection, false)
                && services.get(file).open.get(connection) == Behavior.HEALTHY;
    }

    void perform(List<PollStep> steps) {
        for (PollStep step : steps) {
            step.dispatchTo(this);
        }
        assertTrue(connections.size() <= PollPolicy.MAX_CONNECTIONS, "connections: " + connections);
    }

    @Override
    public void connect(PollStep.Connect step) {
        connects++;
        connections.put(step.connectionNumber(), step.address());
        at(nowMs + 1 + random.nextInt(20), () -> arrive(step.connectionNumber(), step.address()));
    }

    @Override
    public void sendPoll(PollStep.SendPoll step) {
        polling.put(step.connectionNumber(), true);
        double delayMs = answersAtOnce ? 5 : PollPolicy.LONG_POLL_TIMEOUT_MS;
        at(nowMs + delayMs, () -> answer(step.connectionNumber()));
    }

    @Override
    public void close(PollStep.Close step) {
        String address = connections.remove(step.connectionNumber());
        services.get(address).open.remove(step.connectionNumber());
    }

    @Override
    public void readFile(PollStep.ReadFile step) {
        fileReads++;
        String content = file;
        at(nowMs + 1 + random.nextInt(10), () -> {
            if (content == null) {
                policy.fileReadFailed(nowMs);
            } else {
                perform(policy.fileReadSucceeded(content, nowMs));
            }
        });
    }

    @Override
    public void warnNoResponse(PollStep.WarnNoResponse step) {
        warningsAtMs.add(nowMs);
    }

    private void arrive(int connection, String address) {
        Service service = services.get(address);
        if (!policy.isOpen(connection)) {
            return;
        }
        if (service.behavior == Behavior.REFUSES_CONNECTIONS) {
            end(address, connection);
            return;
        }
        service.open.put(connection, service.behavior);
        perform(policy.connected(connection, nowMs));
        if (service.behavior == Behavior.CLOSES_IMMEDIATELY) {
            end(address, connection);
        }
    }

    private void answer(int connection) {
        String address = connections.get(connection);
        if (address != null && services.get(address).open.get(connection) == Behavior.HEALTHY) {
            polling.put(connection, false);
            perform(policy.responded(connection, new PollResponse(false, false), nowMs));
        }
    }
}
