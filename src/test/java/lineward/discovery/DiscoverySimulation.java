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
    private static final double TICK_MS = 5;
    /** Time after which a published event counts as delivered, whether it was received or not. */
    static final double EVENT_DELIVERED_MS = 7000;

    enum Behavior {
        HEALTHY,
        REFUSES_CONNECTIONS,
        NEVER_RESPONDS,
        CLOSES_IMMEDIATELY,
        SENDS_SLOWLY
    }

    /** Decides how long a healthy service takes for a response. */
    interface ResponseDelay {
        /** The delay of a poll that is never answered. */
        double NEVER = 1e9;

        double delayMs(int connectionNumber, double polledAtMs);
    }

    /**
     * One service and its behaviour. A connection that is open when a fault begins keeps the fault until the
     * connection is closed.
     */
    static final class Service {
        Behavior behavior = Behavior.HEALTHY;
        final Map<Integer, Behavior> openConnections = new HashMap<>();
    }

    final Random random;
    final Map<String, Service> services = new HashMap<>();
    final TreeMap<Double, List<Runnable>> tasks = new TreeMap<>();
    final PollPolicy policy;
    final Map<Integer, String> connections = new HashMap<>();
    final Map<Integer, Boolean> polling = new HashMap<>();
    /** The time of the last poll on each connection, or of its connect if there was none. */
    final Map<Integer, Double> waitingSinceMs = new HashMap<>();

    ResponseDelay responseDelay;
    /** Time that each connect takes, in addition to a random one of up to 20 ms. */
    double connectDelayMs;

    final List<Double> eventsPublishedAtMs = new ArrayList<>();
    /** Time from each received event's publication to its receipt. */
    final List<Double> eventDelaysMs = new ArrayList<>();

    private double lastAnswerInTimeAtMs = Double.NEGATIVE_INFINITY;
    private double latestAnsweredPollAtMs = Double.NEGATIVE_INFINITY;
    String addressInFile;
    double nowMs;
    double availableSinceMs;
    double lastPolledAtMs;
    double longestUnpolledMs;
    int connectCount;
    int fileReadCount;
    final List<Double> warningsAtMs = new ArrayList<>();

    DiscoverySimulation(long seed, boolean respondsImmediately) {
        random = new Random(seed);
        double healthyDelayMs = respondsImmediately ? 5 : PollPolicy.LONG_POLL_TIMEOUT_MS;
        responseDelay = (connectionNumber, polledAtMs) -> healthyDelayMs;
        for (String address : ADDRESSES) {
            services.put(address, new Service());
        }
        addressInFile = "a:1";
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
    void reload(double atMs, boolean sendsSignal) {
        String newAddress = randomAddress();
        double missingFileMs = random.nextInt(3) == 0 ? random.nextDouble() * 3000 : 0;
        double signalAtMs = atMs + (random.nextInt(4) == 0 ? -200 * random.nextDouble() : 0);
        at(atMs - 1, () -> addressInFile = null);
        if (sendsSignal) {
            at(signalAtMs, () -> policy.reloadAddress(nowMs));
        }
        at(atMs + missingFileMs, () -> {
            String old = addressInFile == null ? policy.address() : addressInFile;
            addressInFile = newAddress;
            services.get(newAddress).behavior = Behavior.HEALTHY;
            if (!old.equals(newAddress)) {
                startFault(old, Behavior.NEVER_RESPONDS);
                at(nowMs + 1500, () -> closeAll(old));
            }
        });
    }

    void startFault(String address, Behavior behavior) {
        services.get(address).behavior = behavior;
        services.get(address).openConnections.replaceAll((connection, was) -> behavior);
        if (behavior == Behavior.REFUSES_CONNECTIONS || behavior == Behavior.CLOSES_IMMEDIATELY) {
            closeAll(address);
        }
    }

    /** Makes the service healthy if the file has its address; otherwise it has moved and stays faulty. */
    void recover(String address) {
        if (address.equals(addressInFile)) {
            services.get(address).behavior = Behavior.HEALTHY;
        }
    }

    private void closeAll(String address) {
        for (int connection : List.copyOf(services.get(address).openConnections.keySet())) {
            closeConnection(address, connection);
        }
    }

    private void closeConnection(String address, int connection) {
        services.get(address).openConnections.remove(connection);
        connections.remove(connection);
        policy.failed(connection, PollFault.CONNECTION_CLOSED, nowMs);
    }

    void run(double endMs) {
        for (nowMs = 0; nowMs < endMs; nowMs += TICK_MS) {
            runDueTasks();
            perform(policy.tick(nowMs));
            measureUnpolledTime();
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
    private void measureUnpolledTime() {
        boolean available = addressInFile != null && services.get(addressInFile).behavior == Behavior.HEALTHY;
        boolean polled = available && connections.keySet().stream().anyMatch(this::isPollAtServiceInFile);
        availableSinceMs = available ? availableSinceMs : nowMs;
        lastPolledAtMs = polled ? nowMs : lastPolledAtMs;
        longestUnpolledMs = Math.max(longestUnpolledMs, nowMs - Math.max(lastPolledAtMs, availableSinceMs));
    }

    private boolean isPollAtServiceInFile(int connection) {
        return connections.get(connection).equals(addressInFile)
                && polling.getOrDefault(connection, false)
                && services.get(addressInFile).openConnections.get(connection) == Behavior.HEALTHY;
    }

    void perform(List<PollStep> steps) {
        for (PollStep step : steps) {
            step.dispatchTo(this);
        }
        assertTrue(connections.size() <= PollConnections.MAX_CONNECTIONS, "connections: " + connections);
    }

    @Override
    public void connect(PollStep.Connect step) {
        connectCount++;
        connections.put(step.connectionNumber(), step.address());
        waitingSinceMs.put(step.connectionNumber(), nowMs);
        double establishedAtMs = nowMs + connectDelayMs + 1 + random.nextInt(20);
        at(establishedAtMs, () -> establish(step.connectionNumber(), step.address()));
    }

    @Override
    public void sendPoll(PollStep.SendPoll step) {
        polling.put(step.connectionNumber(), true);
        waitingSinceMs.put(step.connectionNumber(), nowMs);
        double delayMs = responseDelay.delayMs(step.connectionNumber(), nowMs);
        at(nowMs + delayMs, () -> respond(step.connectionNumber()));
    }

    @Override
    public void close(PollStep.Close step) {
        String address = connections.remove(step.connectionNumber());
        assertNotClosedTooEarly(step.connectionNumber(), address);
        services.get(address).openConnections.remove(step.connectionNumber());
    }

    /**
     * A connection to the current address may be closed only if a later poll has been answered, or if it has
     * waited longer than the time after which an event counts as delivered.
     */
    private void assertNotClosedTooEarly(int connection, String address) {
        double sinceMs = waitingSinceMs.get(connection);
        boolean replaced = !address.equals(policy.address());
        boolean answeredLater = latestAnsweredPollAtMs >= sinceMs || lastAnswerInTimeAtMs == nowMs;
        double waitedMs = nowMs - sinceMs;
        assertTrue(
                replaced || answeredLater || waitedMs > EVENT_DELIVERED_MS,
                "connection " + connection + " was closed after " + waitedMs + " ms at " + nowMs);
    }

    @Override
    public void readFile(PollStep.ReadFile step) {
        fileReadCount++;
        String content = addressInFile;
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

    /** Publishes an event at that time. */
    void publishAt(double atMs) {
        at(atMs, () -> eventsPublishedAtMs.add(nowMs));
    }

    /** A response contains all events that are published when it is sent. */
    private void receiveEvents() {
        while (eventDelaysMs.size() < eventsPublishedAtMs.size()) {
            eventDelaysMs.add(nowMs - eventsPublishedAtMs.get(eventDelaysMs.size()));
        }
    }

    private void establish(int connection, String address) {
        Service service = services.get(address);
        if (!policy.isOpen(connection)) {
            return;
        }
        if (service.behavior == Behavior.REFUSES_CONNECTIONS) {
            closeConnection(address, connection);
            return;
        }
        service.openConnections.put(connection, service.behavior);
        perform(policy.connected(connection, nowMs));
        if (service.behavior == Behavior.CLOSES_IMMEDIATELY) {
            closeConnection(address, connection);
        }
    }

    private void respond(int connection) {
        String address = connections.get(connection);
        if (address != null && services.get(address).openConnections.get(connection) == Behavior.HEALTHY) {
            polling.put(connection, false);
            double polledAtMs = waitingSinceMs.get(connection);
            latestAnsweredPollAtMs = Math.max(latestAnsweredPollAtMs, polledAtMs);
            if (nowMs - polledAtMs <= PollConnection.RESPONSE_LIMIT_MS) {
                lastAnswerInTimeAtMs = nowMs;
            }
            receiveEvents();
            perform(policy.responded(connection, new PollResponse(false, false), nowMs));
        }
    }
}
