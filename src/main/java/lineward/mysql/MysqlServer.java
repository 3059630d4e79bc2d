package lineward.mysql;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import lineward.core.ByteBudget;
import lineward.core.Command;
import lineward.core.Coordinator;
import lineward.core.EngineEndpoint;
import lineward.core.Forwarder;
import lineward.frontend.CoordinatorDriver;
import lineward.frontend.Listener;
import lineward.frontend.ProtocolServer;
import lineward.frontend.ReceiveBudget;
import lineward.frontend.SendBudget;
import lineward.mysql.client.AttemptReporter;
import lineward.mysql.client.ClientAcceptor;
import lineward.mysql.client.ClientContext;
import lineward.mysql.client.ConnectedClients;
import lineward.mysql.client.Query;
import lineward.mysql.client.QueryDispatcher;
import lineward.mysql.engine.AttemptListener;
import lineward.mysql.engine.ConnectionLimits;
import lineward.mysql.engine.EngineConfig;
import lineward.mysql.engine.EngineConnectionPools;
import lineward.mysql.session.StatementLimits;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;
import lineward.spool.Spool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The server of the MySQL front end. It uses the MySQL protocol with clients and engines, and has its own
 * coordinator, which schedules the queries. Confined to the event loop, except for its construction.
 */
public final class MysqlServer implements Forwarder<Query>, ProtocolServer {
    /** Maximum duration of a cancel: the timeout for the reply to a killed statement, plus a margin. */
    public static final double MAX_CANCEL_DURATION_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(MysqlServer.class);

    private final MysqlConfig config;
    private final ClientAcceptor acceptor;
    private final CoordinatorDriver<Query> driver;
    private final Runnable tickRequest;
    private final Spool spool;
    private final EngineConnectionPools pools;
    private final AttemptReporter.Context reportTargets;
    private final ConnectedClients clients;
    private final ServerAdmissionPolicy admission;
    private final ReceiveBudget receiveBudget;
    private final SendBudget sendBudget;
    private long shutdownStartedNanos;

    /**
     * Creates a server that does not listen yet and has no engines.
     *
     * @param clock monotonic time in milliseconds
     * @param tickRequest schedules a call of {@link #tick}; called when the coordinator has new events
     * @param metrics counts attempts sent to engines, and queries rejected before they reach the coordinator
     * @param spool stores results that are long, have a key, or are read by a cursor
     */
    public MysqlServer(
            EventLoopGroup loop,
            MysqlConfig config,
            Coordinator<Query> coordinator,
            DoubleSupplier clock,
            Runnable tickRequest,
            Metrics metrics,
            Spool spool) {
        this.config = config;
        this.driver = new CoordinatorDriver<>(coordinator, clock, tickRequest);
        this.tickRequest = tickRequest;
        this.spool = spool;
        this.admission = new ServerAdmissionPolicy(config.memory().maxStatementBytes());
        this.receiveBudget = new ReceiveBudget(config.memory().maxReceiveBytes());
        metrics.addReceiveBufferBytes(receiveBudget::used);
        this.sendBudget = new SendBudget(config.memory().maxUnreadBytes());
        this.clients = new ConnectedClients(config.limits().maxClients());
        this.pools = enginePools(loop, config);
        this.reportTargets = new AttemptReporter.Context(coordinator, metrics, spool, tickRequest);
        QueryDispatcher dispatcher = new QueryAdmission(config, admission, driver, metrics);
        this.acceptor = new ClientAcceptor(clientContext(dispatcher), Listener.at(config.listenAddress()));
    }

    private ClientContext clientContext(QueryDispatcher dispatcher) {
        MysqlConfig.Limits limits = config.limits();
        return new ClientContext(
                clients,
                config.passwordsByUser(),
                limits.maxPacketBytes(),
                StatementLimits.of(limits.maxStatements(), config.memory().maxPreparedBytes()),
                spool,
                receiveBudget,
                sendBudget,
                dispatcher,
                this::statistics);
    }

    private static EngineConnectionPools enginePools(EventLoopGroup loop, MysqlConfig config) {
        MysqlConfig.Limits limits = config.limits();
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectTimeoutMs());
        ConnectionLimits connectionLimits = new ConnectionLimits(
                limits.connectionsPerEngine(),
                limits.connectTimeoutMs(),
                new ByteBudget(config.memory().maxReplyBytes()));
        return new EngineConnectionPools(bootstrap, connectionLimits);
    }

    private String statistics() {
        int open = driver.openRequestCount();
        return "Clients: " + clients.size() + "  Open: " + open + "  Engines: " + pools.size();
    }

    @Override
    public ChannelFuture listen(EventLoopGroup loop) {
        return acceptor.listen(loop);
    }

    /** Replaces the list of engines; engines that are no longer in it are drained. */
    public void updateEngines(List<EngineConfig> engines) {
        pools.update(engines);
        List<EngineEndpoint> endpoints =
                engines.stream().map(MysqlServer::toEndpoint).toList();
        List<String> states = endpoints.stream()
                .map(endpoint -> endpoint.id() + ' ' + endpoint.state())
                .toList();
        LOG.info("engines updated: engines={}", states);
        driver.coordinator().endpointsChanged(true, endpoints);
        tickRequest.run();
    }

    private static EngineEndpoint toEndpoint(EngineConfig engine) {
        String address = engine.address().toString();
        return new EngineEndpoint(engine.name(), address, 0, 1, 0, engine.state(), 0, 0);
    }

    @Override
    public void closeIdleEngineConnections() {
        long idleTimeoutNanos = TimeUnit.MILLISECONDS.toNanos(config.limits().idleTimeoutMs());
        pools.closeIdleSince(System.nanoTime() - idleTimeoutNanos);
    }

    /**
     * Requests are rejected in phase REJECTING only. In phase DRAINING clients are not asked to leave,
     * because the MySQL protocol has no message for that.
     */
    @Override
    public void setAdmissionPhase(ServerAdmissionPolicy.Phase phase) {
        if (admission.isRecommendedToClients() && phase != ServerAdmissionPolicy.Phase.OPEN) {
            shutdownStartedNanos = System.nanoTime();
        }
        admission.setPhase(phase);
    }

    /** Ignored: a statement keeps the deadline of its class. */
    @Override
    public void setShutdownDeadline(int deadlineMs) {}

    /** Ignored: a statement fails at the deadline of its class. */
    @Override
    public void failOpenRequests() {}

    @Override
    public void stopListening() {
        acceptor.stop();
    }

    @Override
    public void closeIdleClients(double probability) {
        clients.closeIdle(probability, shutdownStartedNanos);
    }

    @Override
    public void runPeriodicTasks() {
        clients.closeOverdueLogins();
        receiveBudget.tick();
        sendBudget.tick();
        spool.tick();
    }

    @Override
    public void setMaintenance(String engine, boolean underMaintenance, double sinceMs) {
        driver.setMaintenance(engine, underMaintenance, sinceMs);
        if (underMaintenance) {
            pools.rejectUnsent(engine);
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

    @Override
    public void tick() {
        driver.tick(this);
    }

    @Override
    public void startAttempt(Command.StartAttempt<Query> command) {
        Query query = command.protocolRequest();
        AttemptListener reporter = new AttemptReporter(reportTargets, query, command.attempt());
        pools.start(command.engineId(), query.nextAttempt(command.attempt(), command.timeoutMs(), reporter));
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt<Query> command) {
        command.protocolRequest().cancelAttempt(command.attemptNumber());
    }

    /** Ignored: the MySQL protocol has no priorities. */
    @Override
    public void changePriority(Command.ChangePriority<Query> command) {}

    /** Ignored: this coordinator's settings disable health checks. */
    @Override
    public void checkHealth(Command.CheckHealth<Query> command) {}

    /** Ignored: MySQL front ends do not use gossip. */
    @Override
    public void broadcastGossip(Command.BroadcastGossip<Query> command) {}

    @Override
    public void reject(Command.Reject<Query> command) {
        command.protocolRequest().reject(command.retryAfterMs());
    }

    @Override
    public void fail(Command.Fail<Query> command) {
        command.protocolRequest().fail();
    }
}
