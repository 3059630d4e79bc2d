package lineward.app;

import lineward.core.ByteBudget;
import lineward.core.Coordinator;
import lineward.core.Tracer;
import lineward.discovery.EndpointList;
import lineward.engine.EngineCluster;
import lineward.engine.EngineWarmup;
import lineward.scheduling.execution.SpeculativeScheduler;
import lineward.thrift.Call;
import lineward.thrift.ThriftServer;
import lineward.thrift.ThriftWarmup;

/** Wires the platform's protocol: the Thrift server, the connections to engines and a coordinator. */
final class ThriftWiring {
    /** Maximum time until a cancellation has taken effect on an engine, including network latency. */
    private static final double CANCEL_LATENCY_MS = 6;
    /** Open requests per megabyte of configured memory: 16 KB for each request. */
    private static final int OPEN_REQUESTS_PER_MB = 64;
    /** The statements of open requests may use the memory divided by this. */
    private static final int STATEMENT_MEMORY_DIVISOR = 16;
    /** Statements are on the heap and may use at most the heap divided by this. */
    private static final int STATEMENT_HEAP_DIVISOR = 6;
    /** The pages of incomplete results are on the heap and may use at most the heap divided by this. */
    private static final int PAGE_HEAP_DIVISOR = 8;
    /** Responses that clients have not read may use the memory divided by this. */
    private static final int RESPONSE_MEMORY_DIVISOR = 12;
    /** Responses are in direct memory and may use at most that memory divided by this. */
    private static final int RESPONSE_BUFFER_DIVISOR = 2;

    /** The ids of open and recently ended requests may use the heap divided by this. */
    private static final int CALL_ID_HEAP_DIVISOR = 8;

    private static final int MAX_CALL_IDS = 1 << 20;

    private static final long BYTES_PER_MB = 1 << 20;
    /** Fraction of the descriptors for clients. */
    private static final double CLIENT_DESCRIPTOR_RATIO = 0.5;
    /** Fraction of the descriptors for connections to engines. The remaining ones are for everything else. */
    private static final double ENGINE_DESCRIPTOR_RATIO = 0.35;

    private final FrontEndContext context;
    private final PlatformConfig config;
    private final ThriftServer.Names names;
    private final ThriftServer.Bounds bounds;

    ThriftWiring(FrontEndContext context, PlatformConfig config) {
        this.context = context;
        this.config = config;
        PlatformConfig.Names configured = config.names();
        this.names = new ThriftServer.Names(configured.classes(), configured.tenants(), config.deadlinesMs());
        this.bounds = bounds(config.resources());
    }

    private static ThriftServer.Bounds bounds(PlatformConfig.Resources resources) {
        long memoryBytes = resources.memoryMb() * BYTES_PER_MB;
        long heapBytes = Runtime.getRuntime().maxMemory();
        long bufferBytes = BufferMemory.capacityBytes();
        long callIds = heapBytes / CALL_ID_HEAP_DIVISOR / ThriftServer.MAX_BYTES_PER_CALL_ID;
        return new ThriftServer.Bounds(
                (int) (resources.descriptors() * CLIENT_DESCRIPTOR_RATIO),
                BufferMemory.receiveBytes(),
                Math.min(memoryBytes / STATEMENT_MEMORY_DIVISOR, heapBytes / STATEMENT_HEAP_DIVISOR),
                Math.min(memoryBytes / RESPONSE_MEMORY_DIVISOR, bufferBytes / RESPONSE_BUFFER_DIVISOR),
                (int) Math.min(MAX_CALL_IDS, callIds));
    }

    /**
     * Creates the server, after a warm-up, applies the initial endpoints and adds the server to the front
     * end.
     *
     * @param configFile file from which a reload reads the address of service discovery
     * @return the properties of this process that its lifecycle depends on
     */
    LifecycleWiring.ProcessProperties connect(
            TelemetryWiring telemetry, DiscoveryWiring discovery, PlatformConfigFile configFile) {
        Coordinator<Call> coordinator = coordinator(config.seed(), telemetry.tracer(Call::requestClass));
        EngineCluster cluster = cluster();
        context.metrics().registerClasses(names.classes());
        context.runOnEventLoop(() -> warmUp(cluster));
        ListenerWiring clients = ListenerWiring.open(config.addresses().listen(), context.environment());
        TickCoalescer tick = new TickCoalescer(context.eventLoop());
        ThriftServer server = new ThriftServer(
                names,
                bounds,
                clients.listener(),
                coordinator,
                cluster,
                context.clock(),
                tick,
                context.metrics(),
                GossipWiring.connect(context, config.addresses().gossip(), coordinator, tick));
        tick.setServer(server);
        EndpointList endpoints = endpoints((isComplete, entries) -> {
            cluster.updateEndpoints(isComplete, entries);
            coordinator.endpointsChanged(isComplete, entries);
            tick.run();
        });
        context.runOnEventLoop(() -> applyInitialEndpoints(endpoints));
        context.protocolServers().add(server);
        discovery.createClient(config.addresses().discovery(), configFile, endpoints);
        return processProperties(clients.isInherited());
    }

    private Coordinator<Call> coordinator(long seed, Tracer<Call> tracer) {
        int maxRequestsByMemory = config.resources().memoryMb() * OPEN_REQUESTS_PER_MB;
        int maxOpenRequests = Math.min(FrontEndContext.MAX_OPEN_REQUESTS, maxRequestsByMemory);
        SpeculativeScheduler scheduler = new SpeculativeScheduler(config.settings(), seed);
        return new Coordinator<>(scheduler, maxOpenRequests, CANCEL_LATENCY_MS, tracer);
    }

    private EngineCluster cluster() {
        PlatformConfig.EngineConnections connections = config.engineConnections();
        EngineCluster.Limits limits = new EngineCluster.Limits(
                connections.connectTimeoutMs(),
                connections.engineIdleTimeoutMs(),
                connections.attemptsPerConnection(),
                (int) (config.resources().descriptors() * ENGINE_DESCRIPTOR_RATIO),
                new ByteBudget(Runtime.getRuntime().maxMemory() / PAGE_HEAP_DIVISOR),
                !config.settings().loadReporting().fields().isEmpty());
        return new EngineCluster(context.eventLoopGroup(), limits, context.metrics()::countForwardedAttempt);
    }

    /** Loads and compiles the code that the first requests use; runs it with a separate coordinator. */
    private void warmUp(EngineCluster cluster) {
        EngineWarmup.run();
        ThriftWarmup.run(names, bounds, coordinator(0, new LogTracer<>()), cluster, context.clock());
    }

    private EndpointList endpoints(EndpointList.Listener listener) {
        return new EndpointList(config.names().engineKinds(), config.names().zones(), listener);
    }

    private void applyInitialEndpoints(EndpointList endpoints) {
        ConfigNode initial = config.initialEndpoints();
        try {
            endpoints.apply(initial.value());
        } catch (IllegalArgumentException e) {
            throw initial.invalid("can't be used: " + e.getMessage(), "discovery events in wire format", e);
        }
    }

    private LifecycleWiring.ProcessProperties processProperties(boolean isInherited) {
        String name = config.name() + '-' + config.addresses().listen().getPort();
        double longestDeadlineMs = names.deadlinesMs().stream()
                .mapToDouble(Double::doubleValue)
                .max()
                .orElse(LifecycleWiring.MAX_RESTART_DEADLINE_MS);
        return new LifecycleWiring.ProcessProperties(name, isInherited, longestDeadlineMs);
    }
}
