package lineward.testing;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** The program with two fake engines, a fake service discovery and a configuration file. */
public final class TestingPlatform implements AutoCloseable {
    private static final String SETTINGS = """
        {"az":0,"classes":[{"name":"look","aim":500,"aim-stretch":2,"deadline":2500,"value":1,
         "effect":"retryable","dedup-scope":"all","late-share":0.1}],"peers-total":2,"ordinal":0,
         "limits":{"cancel":true,"max-attempts":6,"retry-after":true,"max-retry-after":2000,
         "connect-timeout":250,"conn-idle":30000,"streams-per-conn":100},
         "obligations":{"drain-grace":1000,"cold":15000,"cold-share":0.34,"overload-factor":2.5,
         "fall":1500},
         "specifics":{"cpu-of-kind":[8],"ram-of-kind-mb":[16384],"grants":true,"lanes-count":true,
         "threads-by-class":[1]},"skus":["std"],"zones":["east"],
         "tenants":[{"name":"west","quota-rps":50}]}\
        """;

    private final TestingServiceDiscovery discovery = new TestingServiceDiscovery();
    private final ConcurrentRuns concurrentRuns = new ConcurrentRuns();
    private final TestingEngine engine1 = new TestingEngine(concurrentRuns);
    private final TestingEngine engine2 = new TestingEngine(concurrentRuns);
    private final Program program;
    private final SocketActivator activator;
    private final int maxDescriptors;
    private final String settings;
    private final Path folder = Files.createTempDirectory("shared");
    private final Path configFile = folder.resolve("config.json");

    public TestingPlatform(Map<String, String> environment) throws IOException {
        this(environment, null);
    }

    /** @param activator owns the clients' listening socket; null if the program binds one */
    public TestingPlatform(Map<String, String> environment, SocketActivator activator) throws IOException {
        this(environment, activator, 2, 2, 1024);
    }

    /** @param change returns the changed text of the settings */
    public TestingPlatform(UnaryOperator<String> change) throws IOException {
        this(Map.of(), null, 2, 2, 1024, change);
    }

    public TestingPlatform(
            Map<String, String> environment,
            SocketActivator activator,
            int frontEnds,
            int endpointCount,
            int maxDescriptors)
            throws IOException {
        this(environment, activator, frontEnds, endpointCount, maxDescriptors, text -> text);
    }

    /**
     * @param frontEnds number of front ends according to the settings
     * @param endpointCount number of endpoints: s-1, s-2 and so on, which alternate between the two engines
     * @param maxDescriptors maximum number of the program's file descriptors
     */
    private TestingPlatform(
            Map<String, String> environment,
            SocketActivator activator,
            int frontEnds,
            int endpointCount,
            int maxDescriptors,
            UnaryOperator<String> change)
            throws IOException {
        this.activator = activator;
        this.maxDescriptors = maxDescriptors;
        this.settings = change.apply(SETTINGS.replace("\"peers-total\":2", "\"peers-total\":" + frontEnds));
        discovery.publish(true, endpoints(1, endpointCount, "ready"));
        configure(discovery);
        Map<String, String> variables = new HashMap<>(environment);
        variables.put("RELAY_CONFIG", configFile.toString());
        variables.put("TMPDIR", folder.toString());
        program = activator == null ? new Program(variables, "serve") : startOnSharedSocket();
        program.port();
    }

    /** Returns the arguments of an endpoint update: id, port and state for each endpoint of the range. */
    public String[] endpoints(int from, int to, String state) {
        return IntStream.rangeClosed(from, to)
                .boxed()
                .flatMap(i -> Stream.of("s-" + i, "" + (i % 2 == 1 ? engine1 : engine2).port(), state))
                .toArray(String[]::new);
    }

    /** Starts one more process of the program, on the activator's socket. */
    public Program startOnSharedSocket() throws IOException {
        return new Program(activator, "RELAY_CONFIG=" + configFile + ";TMPDIR=" + folder);
    }

    /** Returns settings with a long connect timeout, latency objective and deadline. */
    public static String withLongTimeouts(String settings) {
        return settings.replace("\"connect-timeout\":250", "\"connect-timeout\":8000")
                .replace("\"deadline\":2500", "\"deadline\":20000")
                .replace("\"aim\":500", "\"aim\":15000");
    }

    /** Returns settings with another class, "load", whose requests are not idempotent. */
    public static String withNonIdempotentClass(String settings) {
        return settings.replace(
                        "\"classes\":[",
                        "\"classes\":[{\"name\":\"load\",\"aim\":2000,"
                                + "\"aim-stretch\":2,\"deadline\":4000,\"value\":3,\"effect\":\"fragile\","
                                + "\"late-share\":0.5},")
                .replace("\"threads-by-class\":[1]", "\"threads-by-class\":[1,1]");
    }

    /** Returns the number of attempts that both engines have received. */
    public long attempts() {
        return engine1.attempts() + engine2.attempts();
    }

    /** Publishes the state of both engines and waits until the program has received it. */
    public void publishBoth(String state) {
        discovery.publish(false, endpoints(1, 2, state));
        awaitEventsReceived();
    }

    /** Publishes a full snapshot that lists only this engine. */
    public void publishOnly(String id, TestingEngine engine) {
        discovery.publish(true, id, "" + engine.port(), "ready");
        awaitEventsReceived();
    }

    /** Waits until the program has received all events. */
    public void awaitEventsReceived() {
        BooleanSupplier allReceived = () -> discovery.lastDelivered() == discovery.lastPublished();
        Program.await("the program has received all events", allReceived);
    }

    /** Starts a second program with the current configuration, on a socket of its own. */
    public Program startOnOwnSocket() throws IOException {
        return new Program(Map.of("RELAY_CONFIG", configFile.toString()), "serve");
    }

    /** Writes a configuration that uses this service discovery. */
    public void configure(TestingServiceDiscovery service) throws IOException {
        configure("{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1f\",\"limits\":"
                + "{\"sockets\":" + maxDescriptors + "},\"journal\":\"" + service.address()
                + "\",\"management\":\"127.0.0.1:0\",\"known\":" + service.eventsAfter(0)
                + ",\"settings\":" + settings + "}");
    }

    public void configure(String text) throws IOException {
        Files.writeString(configFile, text);
    }

    /** Sets the behavior of both engines. */
    public void setBehavior(EngineBehavior behavior) {
        engine1.setBehavior(behavior);
        engine2.setBehavior(behavior);
    }

    public TestingClient client() throws IOException {
        return new TestingClient(activator == null ? program.port() : activator.port());
    }

    /** Sends requests that are served, and one that is rejected because its time left is too short. */
    public void sendServedAndOneRejected(int servedCount) throws IOException {
        try (TestingClient client = client()) {
            for (int i = 0; i < servedCount; i++) {
                client.call(TestingClient.fields(2000), "select 1");
            }
            client.call(TestingClient.fields(20), "select 1");
        }
    }

    public Program program() {
        return program;
    }

    public TestingServiceDiscovery discovery() {
        return discovery;
    }

    /** Returns the engine of the endpoints with odd numbers, such as s-1. */
    public TestingEngine engine1() {
        return engine1;
    }

    /** Returns the engine of the endpoints with even numbers, such as s-2. */
    public TestingEngine engine2() {
        return engine2;
    }

    /** Returns the record of requests that ran more than once at the same time. */
    public ConcurrentRuns concurrentRuns() {
        return concurrentRuns;
    }

    /** Returns the configuration file. */
    public Path configFile() {
        return configFile;
    }

    @Override
    public void close() throws IOException {
        program.close();
        engine1.close();
        engine2.close();
        discovery.close();
        try (Stream<Path> files = Files.list(folder)) {
            files.forEach(file -> file.toFile().delete());
        }
        Files.deleteIfExists(folder);
    }
}
