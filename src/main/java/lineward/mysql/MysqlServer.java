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
import lineward.core.GenerationalTable;
import lineward.core.RequestAttributes;
import lineward.frontend.Listener;
import lineward.frontend.ProtocolServer;
import lineward.operations.Metrics;
import lineward.scheduling.decision.ServerAdmissionPolicy;
import lineward.spool.Spool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The MySQL front end: clients and engines speak the MySQL protocol, a coordinator of its own decides. Used
 * by one event loop only, but for its construction.
 */
public final class MysqlServer implements Forwarder<Query>, ProtocolServer {
    /** Longest that a cancel takes: an engine may confirm the kill, then its connection is closed. */
    public static final double CANCEL_LIMIT_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(MysqlServer.class);
    /** The server version that clients are greeted with. */
    static final String VERSION = "8.0.36-lineward";
    /** Retry-After of a request for which this front end has no room. */
    static final long BUSY_RETRY_MS = 500;

    /** Bound of the prepared statements' texts of all clients. */
    private static final long MAX_STATEMENT_TEXT_BYTES = 8L << 20;

    private final MysqlConfig config;
    private final ClientAcceptor acceptor;
    private final Coordinator<Query> coordinator;
    private final DoubleSupplier clock;
    private final Runnable wakeUp;
    private final Metrics metrics;
    private final Spool spool;
    private final EngineConnectionPools pools;
    private final AttemptReporter.Targets reportTargets;
    private final ConnectedClients clients;
    private final ByteBudget statementTexts = new ByteBudget(MAX_STATEMENT_TEXT_BYTES);
    private final ServerAdmissionPolicy admission = new ServerAdmissionPolicy(Long.MAX_VALUE);
    private long shutdownStartedNanos;

    /**
     * A server that does not listen yet and knows no engines.
     *
     * @param clock the time in milliseconds
     * @param wakeUp is called when the coordinator has something to decide on
     * @param metrics count what ends here, before the coordinator has admitted it
     * @param spool stores results that are long, paged or named
     */
    public MysqlServer(
            EventLoopGroup loop,
            MysqlConfig config,
            Coordinator<Query> coordinator,
            DoubleSupplier clock,
            Runnable wakeUp,
            Metrics metrics,
            Spool spool) {
        this.config = config;
        this.acceptor = new ClientAcceptor(this, Listener.at(config.listen()));
        this.coordinator = coordinator;
        this.clock = clock;
        this.wakeUp = wakeUp;
        this.metrics = metrics;
        this.spool = spool;
        this.clients = new ConnectedClients(config.bounds().maxClients());
        this.pools = new EngineConnectionPools(engineBootstrap(loop, config.bounds()), config.bounds());
        this.reportTargets = new AttemptReporter.Targets(coordinator, metrics, spool, wakeUp);
    }

    private static Bootstrap engineBootstrap(EventLoopGroup loop, MysqlConfig.Bounds bounds) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, bounds.connectTimeoutMs());
    }

    @Override
    public ChannelFuture listen(EventLoopGroup loop) {
        return acceptor.listen(loop);
    }

    /** Takes in the engines as the configuration now has them; the others are drained. */
    public void updateEngines(List<MysqlConfig.Engine> named) {
        pools.update(named);
        List<EngineEndpoint> endpoints =
                named.stream().map(MysqlServer::endpoint).toList();
        List<String> states = endpoints.stream()
                .map(endpoint -> endpoint.id() + ' ' + endpoint.state())
                .toList();
        LOG.info("engines updated: engines={}", states);
        coordinator.endpointsChanged(true, endpoints);
        wakeUp.run();
    }

    private static EngineEndpoint endpoint(MysqlConfig.Engine engine) {
        String address = engine.address().toString();
        return new EngineEndpoint(engine.name(), address, 0, 1, 0, engine.state(), 0, 0);
    }

    @Override
    public void closeIdleEngineConnections() {
        long idleNanos = TimeUnit.MILLISECONDS.toNanos(config.bounds().idleMs());
        pools.closeIdleSince(System.nanoTime() - idleNanos);
    }

    /** The protocol has no message that asks clients to stay away; their requests can be rejected. */
    @Override
    public void setAdmission(ServerAdmissionPolicy.Phase next) {
        if (admission.welcomesClients() && next != ServerAdmissionPolicy.Phase.OPEN) {
            shutdownStartedNanos = System.nanoTime();
        }
        admission.enter(next);
    }

    /** Ignored: the statements of a MySQL front end run to their own deadlines. */
    @Override
    public void setShutdownDeadline(int ms) {}

    /** Ignored, as is {@link #setShutdownDeadline}. */
    @Override
    public void failOpenRequests() {}

    @Override
    public void stopListening() {
        acceptor.stop();
    }

    @Override
    public void closeIdleClients(double chance) {
        clients.closeIdle(chance, shutdownStartedNanos);
    }

    @Override
    public void closeUnresponsive() {
        clients.closeNotLoggedIn();
        spool.tick();
    }

    @Override
    public void setMaintenance(String engine, boolean out, double at) {
        coordinator.setMaintenance(engine, out, at);
        if (out) {
            pools.rejectUnsent(engine);
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

    @Override
    public void tick() {
        coordinator.tick(clock.getAsDouble()).forEach(command -> command.executeBy(this));
    }

    /** Registers the client; returns false if there are too many. */
    boolean addClient(ClientSession client) {
        return clients.add(client);
    }

    void removeClient(ClientSession client) {
        clients.remove(client);
    }

    String password(String user) {
        return config.users().get(user);
    }

    int maxStatements() {
        return config.bounds().maxStatements();
    }

    int maxPacket() {
        return config.bounds().maxPacket();
    }

    /** Reserves that many bytes for a prepared statement's text; returns false if the bound is reached. */
    boolean reserveStatementText(int bytes) {
        return statementTexts.reserve(bytes);
    }

    /** Releases what was reserved by {@link #reserveStatementText}. */
    void releaseStatementText(int bytes) {
        statementTexts.release(bytes);
    }

    Spool spool() {
        return spool;
    }

    /** Counts a query that is rejected before admission, as the spool has no room for its result. */
    void countRejected(Query query) {
        metrics.countEnded(className(query), Metrics.RequestStatus.REJECTED);
    }

    String statistics() {
        int open = coordinator.openRequests();
        return "Clients: " + clients.size() + "  Open: " + open + "  Engines: " + pools.size();
    }

    /** Returns the scheduler's number of a statement's class: each has one for reads and one for writes. */
    int typeOf(String text, boolean writes) {
        return 2 * config.classOf(text) + (writes ? 1 : 0);
    }

    /** Admits the query; returns false where there is no room for it, and it must be rejected. */
    boolean admit(Query query) {
        boolean admitted = admission.admitsRequests() && tryAdmit(query);
        if (!admitted) {
            metrics.countEnded(className(query), Metrics.RequestStatus.REJECTED);
        }
        return admitted;
    }

    private String className(Query query) {
        return config.classes().get(query.classIndex()).name();
    }

    private boolean tryAdmit(Query query) {
        double deadlineMs = config.classes().get(query.classIndex()).deadlineMs();
        RequestAttributes attributes = new RequestAttributes(query.type, 0, deadlineMs, 0, 0, 0, false);
        query.request = coordinator.admit(clock.getAsDouble(), attributes, query);
        wakeUp.run();
        return query.request != GenerationalTable.FULL;
    }

    /** Cancels the query, whose client has gone. */
    void cancel(Query query) {
        coordinator.cancelRequest(query.request);
        wakeUp.run();
    }

    @Override
    public void startAttempt(Command.StartAttempt<Query> command) {
        Query query = command.exchange();
        AttemptListener reporter = new AttemptReporter(reportTargets, query, command.attempt());
        QueryAttempt attempt = new QueryAttempt(query.work, query.settings, command.timeoutMs(), reporter);
        query.runOf = command.attempt();
        query.spooled = null;
        query.run = attempt;
        pools.start(command.engine(), attempt);
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt<Query> command) {
        Query query = command.exchange();
        if (query.runOf == command.attempt()) {
            query.run.cancel();
        }
    }

    /** Ignored: the protocol has no priorities. */
    @Override
    public void changePriority(Command.ChangePriority<Query> command) {}

    /** Ignored: the settings of this coordinator ask for no health checks. */
    @Override
    public void checkHealth(Command.CheckHealth<Query> command) {}

    /** Ignored: MySQL front ends do not gossip. */
    @Override
    public void broadcastGossip(Command.BroadcastGossip<Query> command) {}

    @Override
    public void reject(Command.Reject<Query> command) {
        Query query = command.exchange();
        query.client.reject(query, command.retryAfterMs());
    }

    @Override
    public void fail(Command.Fail<Query> command) {
        Query query = command.exchange();
        query.client.fail(query);
    }
}
