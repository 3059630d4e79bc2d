package lineward.thrift;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
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
import lineward.frontend.ClientRegistry;
import lineward.frontend.Listener;
import lineward.frontend.ProtocolServer;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;

/** The platform's front end: listens for clients that speak Thrift, and ends their connections. */
public final class ThriftServer implements ProtocolServer {
    private static final int LISTEN_BACKLOG = 1024;
    /** Bytes read from one connection in a turn of the loop: a client at full speed waits for the others. */
    private static final int MIN_READ_BYTES = 512;

    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;
    /** A client that has connected, or begun a frame, and then sends nothing for so long is closed. */
    private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1500);
    /** Time of the last responses to go out before the process is killed. */
    private static final long FLUSH_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * What the settings name, each list in their order.
     *
     * @param classes names of the request classes
     * @param tenants names of the tenants
     * @param deadlines of the classes, in milliseconds
     */
    public record Names(List<String> classes, List<String> tenants, List<Double> deadlines) {}

    /**
     * The bounds of what is held for clients.
     *
     * @param clients connections of clients held at once
     * @param statements bytes of statements held at once; requests beyond are rejected
     * @param answers bytes of responses that clients have not read yet; beyond, the slowest is closed
     */
    public record Bounds(int clients, long statements, long answers) {}

    /**
     * What the program gives every protocol server.
     *
     * @param clock milliseconds, never going back
     * @param wakeUp is called when the coordinator has something to decide on
     * @param metrics count the requests that end before the coordinator has admitted them
     * @param gossip sends a datagram to the other front ends
     */
    public record Services(DoubleSupplier clock, Runnable wakeUp, Metrics metrics, Consumer<byte[]> gossip) {}

    private final Listener listener;
    private final Coordinator<Call> coordinator;
    private final EngineCluster engines;
    private final DoubleSupplier clock;
    private final Runnable wakeUp;
    private final ClientRegistry<ClientHandler> clients;
    private final OpenCalls calls;
    private final ResponseSender responses;
    private final CallForwarder forwarder;
    private Channel listeningChannel;
    private OptionalLong openRequestsFailedAtNanos = OptionalLong.empty();

    /** The same with the program's services one by one. */
    public ThriftServer( // CHECKSTYLE:OFF ParameterNumber: the program's wiring calls it
            Names names,
            Bounds bounds,
            Listener listener,
            Coordinator<Call> coordinator,
            EngineCluster engines,
            DoubleSupplier clock,
            Runnable wakeUp,
            Metrics metrics,
            Consumer<byte[]> gossip) {
        this(names, bounds, listener, coordinator, engines, new Services(clock, wakeUp, metrics, gossip));
    }

    /**
     * Puts the front end together; it serves nobody before {@link #listen}.
     *
     * @param listener opens the listening socket
     */
    public ThriftServer(
            Names names,
            Bounds bounds,
            Listener listener,
            Coordinator<Call> coordinator,
            EngineCluster engines,
            Services services) {
        this.listener = listener;
        this.coordinator = coordinator;
        this.engines = engines;
        this.clock = services.clock();
        this.wakeUp = services.wakeUp();
        this.clients = new ClientRegistry<>(
                bounds.clients(), System::nanoTime, ClientHandler::close, ClientHandler::closeGracefully);
        Metrics metrics = services.metrics();
        this.calls = new OpenCalls(names, bounds.statements(), coordinator, clock, wakeUp, metrics);
        this.responses = new ResponseSender(clients, bounds.answers());
        this.forwarder = new CallForwarder(coordinator, engines, calls, clock, wakeUp, services.gossip());
        metrics.setUnreadBytes(responses::unreadBytes);
    }

    @Override
    public ChannelFuture listen(EventLoopGroup loop) {
        AdaptiveRecvByteBufAllocator readBuffers =
                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES);
        ServerBootstrap bootstrap = new ServerBootstrap()
                .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, readBuffers.maxMessagesPerRead(1))
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

    /** Returns new handlers of one client's connection. */
    ChannelHandler[] clientHandlers() {
        FrameDecoder decoder = new FrameDecoder();
        return new ChannelHandler[] {decoder, new ClientHandler(clients, calls, responses, decoder)};
    }

    @Override
    public void tick() {
        forwarder.tick();
    }

    @Override
    public void setAdmission(ServerAdmissionPolicy.Phase admission) {
        calls.setAdmission(admission);
    }

    @Override
    public void setShutdownDeadline(int ms) {
        coordinator.setShutdownDeadline(clock.getAsDouble() + ms);
    }

    @Override
    public void failOpenRequests() {
        coordinator.failOpenRequests();
        openRequestsFailedAtNanos = OptionalLong.of(System.nanoTime());
        wakeUp.run();
    }

    @Override
    public void closeIdleEngineConnections() {
        engines.closeIdle();
    }

    @Override
    public void stopListening() {
        if (listeningChannel != null) {
            listener.stopAccepting(listeningChannel);
        }
    }

    @Override
    public void closeIdleClients(double chance) {
        List<ClientHandler> idle =
                clients.all().stream().filter(ClientHandler::isIdle).toList();
        ClientRegistry.closeSome(idle, chance, clients::closeGracefully);
        if (isFlushTimedOut()) {
            clients.all().forEach(ClientHandler::close);
        }
    }

    private boolean isFlushTimedOut() {
        return openRequestsFailedAtNanos.isPresent()
                && System.nanoTime() - openRequestsFailedAtNanos.getAsLong() > FLUSH_TIMEOUT_NANOS;
    }

    @Override
    public void closeUnresponsive() {
        engines.keepAlive();
        clients.closeSilent(SILENCE_TIMEOUT_NANOS);
        clients.all().stream()
                .filter(client -> client.isStalled(SILENCE_TIMEOUT_NANOS))
                .forEach(ClientHandler::close);
        calls.expireIds();
    }

    @Override
    public void setMaintenance(String engine, boolean out, double at) {
        coordinator.setMaintenance(engine, out, at);
        if (out) {
            engines.cancelWaiting(engine);
        }
        wakeUp.run();
    }

    @Override
    public Coordinator<?> coordinator() {
        return coordinator;
    }

    @Override
    public boolean isDrained() {
        return coordinator.openRequests() == 0 && clients.size() == 0;
    }
}
