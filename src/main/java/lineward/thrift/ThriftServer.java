package lineward.thrift;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import lineward.core.Coordinator;
import lineward.engine.EngineCluster;
import lineward.frontend.ClientReadBuffers;
import lineward.frontend.ClientRegistry;
import lineward.frontend.CoordinatorDriver;
import lineward.frontend.Listener;
import lineward.frontend.ProtocolServer;
import lineward.frontend.ReceiveBudget;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/**
 * The protocol server for the platform's Thrift clients: accepts their connections and closes them. All
 * methods except the constructors and {@link #listen} are called on the event loop.
 */
public final class ThriftServer implements ProtocolServer {
    /** Heap bytes of the id of a recently ended request, at most. */
    public static final int MAX_BYTES_PER_CALL_ID = CallIdTable.MAX_BYTES_PER_ID;

    private static final int LISTEN_BACKLOG = 1024;
    /**
     * A connection is closed if no request arrives within this time after it was opened, or if a frame stays
     * incomplete for this time.
     */
    private static final long RECEIVE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);
    /**
     * Time for writing the last responses after {@link #failOpenRequests}, before all connections are closed.
     * It ends before the process is killed.
     */
    private static final long FLUSH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * The names and deadlines against which requests are validated. The lists are in the order of the
     * settings, because the scheduler identifies classes and tenants by their index.
     *
     * @param classes names of the request classes
     * @param tenants names of the tenants
     * @param deadlinesMs deadlines of the classes, in milliseconds
     */
    public record Names(List<String> classes, List<String> tenants, List<Double> deadlinesMs) {}

    /**
     * Limits on the resources that clients use.
     *
     * @param maxClients maximum number of client connections
     * @param maxReceiveBytes maximum bytes that are buffered for incomplete requests, see {@link
     *     ReceiveBudget}
     * @param maxStatementBytes maximum bytes of the statements of open requests; others are rejected
     * @param maxUnreadBytes maximum bytes of responses that are not completely written, because clients do
     *     not read them; beyond it the client with the most such bytes is closed
     * @param maxIds maximum number of ids of open and recently ended requests; others are rejected
     */
    public record Bounds(
            int maxClients, long maxReceiveBytes, long maxStatementBytes, long maxUnreadBytes, int maxIds) {}

    /**
     * The services of the program that the server uses.
     *
     * @param clock monotonic time in milliseconds
     * @param tickRequest schedules a call of {@link ThriftServer#tick}
     * @param metrics counts the requests that end before the coordinator has admitted them
     * @param gossipSender sends a datagram to the other front ends
     */
    public record Services(
            DoubleSupplier clock, Runnable tickRequest, Metrics metrics, Consumer<byte[]> gossipSender) {}

    private final Listener listener;
    private final CoordinatorDriver<Call> driver;
    private final EngineCluster engines;
    private final ClientRegistry<ClientHandler> clients;
    private final OpenCalls calls;
    private final ResponseSender responses;
    private final ReceiveBudget receiveBudget;
    private final CallForwarder forwarder;
    /** Null until {@link #listen} is called. */
    private Channel listeningChannel;

    private OptionalLong openRequestsFailedAtNanos = OptionalLong.empty();

    /** Creates the server from the components of {@link Services}. */
    public ThriftServer( // CHECKSTYLE:OFF ParameterNumber: the program's wiring calls it
            Names names,
            Bounds bounds,
            Listener listener,
            Coordinator<Call> coordinator,
            EngineCluster engines,
            DoubleSupplier clock,
            Runnable tick,
            Metrics metrics,
            Consumer<byte[]> gossip) {
        this(names, bounds, listener, coordinator, engines, new Services(clock, tick, metrics, gossip));
    }

    /**
     * Creates the server, which accepts clients once {@link #listen} is called.
     *
     * @param listener opens the listening socket; null if {@link #listen} is never called
     */
    public ThriftServer(
            Names names,
            Bounds bounds,
            Listener listener,
            Coordinator<Call> coordinator,
            EngineCluster engines,
            Services services) {
        this.listener = listener;
        this.driver = new CoordinatorDriver<>(coordinator, services.clock(), services.tickRequest());
        this.engines = engines;
        this.clients = new ClientRegistry<>(
                bounds.maxClients(), System::nanoTime, ClientHandler::close, ClientHandler::closeGracefully);
        Metrics metrics = services.metrics();
        this.calls = new OpenCalls(names, bounds, this.driver, metrics);
        this.responses = new ResponseSender(clients, bounds.maxUnreadBytes());
        this.receiveBudget = new ReceiveBudget(bounds.maxReceiveBytes());
        this.forwarder = new CallForwarder(this.driver, engines, calls, services);
        metrics.setUnreadBytes(responses::unreadBytes);
        metrics.setRequestIds(calls::idCount);
        metrics.addReceiveBufferBytes(receiveBudget::used);
    }

    @Override
    public ChannelFuture listen(EventLoopGroup loop) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ClientReadBuffers.allocator())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(clientHandlers());
                    }
                });
        ChannelFuture bound = listener.bind(bootstrap, loop);
        listeningChannel = bound.channel();
        return bound;
    }

    /** Returns new handlers for one client connection. */
    ChannelHandler[] clientHandlers() {
        FrameDecoder decoder = new FrameDecoder();
        ClientHandler client = new ClientHandler(clients, calls, responses, receiveBudget, decoder);
        return new ChannelHandler[] {decoder, client};
    }

    @Override
    public void tick() {
        driver.tick(forwarder);
    }

    @Override
    public void setAdmissionPhase(ServerAdmissionPolicy.Phase phase) {
        calls.setAdmission(phase);
    }

    @Override
    public void setShutdownDeadline(int deadlineMs) {
        driver.setShutdownDeadline(deadlineMs);
    }

    @Override
    public void failOpenRequests() {
        driver.failOpenRequests();
        openRequestsFailedAtNanos = OptionalLong.of(System.nanoTime());
    }

    @Override
    public void closeIdleEngineConnections() {
        engines.closeIdleConnections();
    }

    @Override
    public void stopListening() {
        if (listeningChannel != null) {
            listener.stopAccepting(listeningChannel);
        }
    }

    @Override
    public void closeIdleClients(double probability) {
        List<ClientHandler> idle = clients.openClientConnections().stream()
                .filter(ClientHandler::isIdle)
                .toList();
        ClientRegistry.closeRandomly(idle, probability, clients::closeGracefully);
        if (isFlushDeadlineExceeded()) {
            clients.openClientConnections().forEach(ClientHandler::close);
        }
    }

    private boolean isFlushDeadlineExceeded() {
        return openRequestsFailedAtNanos.isPresent()
                && System.nanoTime() - openRequestsFailedAtNanos.getAsLong() > FLUSH_TIMEOUT_NANOS;
    }

    @Override
    public void runPeriodicTasks() {
        engines.keepAlive();
        receiveBudget.tick();
        clients.closeSilent(RECEIVE_TIMEOUT_NANOS);
        clients.openClientConnections().stream()
                .filter(client -> client.isStalled(RECEIVE_TIMEOUT_NANOS))
                .forEach(ClientHandler::close);
        calls.expireIds();
    }

    @Override
    public void setMaintenance(String engine, boolean underMaintenance, double sinceMs) {
        driver.setMaintenance(engine, underMaintenance, sinceMs);
        if (underMaintenance) {
            engines.cancelWaitingAttempts(engine);
        }
    }

    @Override
    public Coordinator<?> coordinator() {
        return driver.coordinator();
    }

    @Override
    public boolean isDrained() {
        return driver.openRequestCount() == 0 && clients.size() == 0;
    }
}
