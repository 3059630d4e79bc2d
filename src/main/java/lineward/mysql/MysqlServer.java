package lineward.mysql;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import lineward.core.ByteBudget;
import lineward.core.Command;
import lineward.core.Coordinator;
import lineward.core.EngineEndpoint;
import lineward.core.Forwarder;
import lineward.core.GenerationalTable;
import lineward.core.RequestAttributes;
import lineward.frontend.ClientRegistry;
import lineward.frontend.LingeringClose;
import lineward.frontend.Listener;
import lineward.frontend.ProtocolServer;
import lineward.operations.Metrics;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.EndpointState;
import lineward.spool.Spool;
import lineward.spool.SpooledResult;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The MySQL front: clients and engines speak the MySQL protocol, a planner of its own decides. */
public final class MysqlServer implements Forwarder<Query>, ProtocolServer {
    /** Longest a word to give up takes: an engine gets to confirm the kill, then its connection is closed. */
    public static final double STOP_TAKES_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(MysqlServer.class);
    /** What clients are told that the server is. */
    static final String VERSION = "8.0.36-lineward";
    /** Advice to a client that found this front full. */
    static final long BUSY_RETRY_MS = 500;
    /** A login that is not through by then never will be. */
    private static final long LOGIN_TAKES = TimeUnit.SECONDS.toNanos(10);
    /** Cursors that are open when the process is to end may be read for so long. */
    private static final long CURSORS_LAST = TimeUnit.SECONDS.toNanos(10);
    /** Bytes of prepared texts kept for all clients. */
    private static final long TEXTS = 8L << 20;

    private final MysqlConfig config;
    private final Listener doorway;
    private final Coordinator<Query> planner;
    private final DoubleSupplier clock;
    private final Runnable news;
    private final Metrics figures;
    private final Bootstrap bootstrap;
    private final Map<String, EngineLinks> engines = new HashMap<>();
    private final Set<ClientSession> clients = new LinkedHashSet<>();
    private final ByteBudget texts = new ByteBudget(TEXTS);
    private final Spool spool;
    private Channel listener;
    private int lastClient;
    private Admission intake = Admission.OPEN;
    private long leavingSince;

    /**
     * @param news is called when the planner has something to decide on
     * @param figures count what ends here, before the planner has taken it
     * @param spool takes results that are long, paged or named
     */
    public MysqlServer(
            EventLoopGroup loop,
            MysqlConfig config,
            Coordinator<Query> planner,
            DoubleSupplier clock,
            Runnable news,
            Metrics figures,
            Spool spool) {
        this.spool = spool;
        this.config = config;
        this.doorway = Listener.at(config.listen());
        this.planner = planner;
        this.clock = clock;
        this.news = news;
        this.figures = figures;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, config.bounds().connectTimeoutMs());
    }

    @Override
    public ChannelFuture listen(EventLoopGroup loop) {
        ChannelFuture open = doorway.bind(
                new ServerBootstrap()
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new PacketDecoder(maxPacket()),
                                                new ClientSession(MysqlServer.this, ++lastClient));
                            }
                        }),
                loop);
        listener = open.channel();
        return open;
    }

    /** Takes in the engines as the configuration now has them; who is not named any more is gone. */
    public void engines(List<MysqlConfig.Engine> named) {
        List<EngineEndpoint> entries = new ArrayList<>();
        for (MysqlConfig.Engine e : named) {
            EngineLinks links = engines.get(e.name());
            if (links == null || !links.engine().address().equals(e.address())) {
                if (links != null) {
                    links.drain();
                }
                links = new EngineLinks(bootstrap, e, config.bounds());
                engines.put(e.name(), links);
            }
            if (e.condition() == EndpointState.READY) {
                links.reopen();
            } else {
                links.drain();
            }
            entries.add(new EngineEndpoint(e.name(), e.address().toString(), 0, 1, 0, e.condition(), 0, 0));
        }
        engines.values().stream()
                .filter(l -> named.stream().noneMatch(e -> e.name().equals(l.name())))
                .forEach(EngineLinks::drain);
        LOG.info(
                "engines: {}",
                entries.stream().map(e -> e.id() + ' ' + e.state()).toList());
        planner.endpointsChanged(true, entries);
        news.run();
    }

    @Override
    public void closeIdleEngineConnections() {
        long before = System.nanoTime()
                - TimeUnit.MILLISECONDS.toNanos(config.bounds().idleMs());
        engines.values().forEach(l -> l.closeIdle(before));
        engines.values().removeIf(l -> l.isDrained());
    }

    /** The protocol has no word by which clients could be asked to stay away; they can be refused. */
    @Override
    public void setAdmission(Admission next) {
        if (intake == Admission.OPEN && next != Admission.OPEN) {
            leavingSince = System.nanoTime();
        }
        intake = next;
    }

    /** Nobody kills a front by the clock that serves MySQL: its statements run to their deadlines. */
    @Override
    public void setShutdownDeadline(int ms) {}

    /** See {@link #setShutdownDeadline}. */
    @Override
    public void failOpenRequests() {}

    @Override
    public void stopListening() {
        if (listener != null) {
            doorway.stopAccepting(listener);
        }
    }

    @Override
    public void closeIdleClients(double chance) {
        if (System.nanoTime() - leavingSince > CURSORS_LAST) {
            List.copyOf(clients).forEach(ClientSession::endCursors);
        }
        ClientRegistry.closeSome(
                clients.stream().filter(ClientSession::isIdle).toList(),
                chance,
                c -> LingeringClose.begin(c.channel(), c::isIdle, () -> {}));
    }

    /** Who has not logged in yet is let go; who has may rest, as sessions do. */
    @Override
    public void closeUnresponsive() {
        long before = System.nanoTime() - LOGIN_TAKES;
        clients.stream()
                .filter(c -> c.isStrangerSince(before))
                .toList()
                .forEach(c -> c.channel().close());
        spool.tick();
    }

    @Override
    public void setMaintenance(String engine, boolean out, double at) {
        planner.setMaintenance(engine, out, at);
        if (out) {
            EngineLinks links = engines.get(engine);
            if (links != null) {
                links.recall();
            }
        }
        news.run();
    }

    @Override
    public Coordinator<?> coordinator() {
        return planner;
    }

    @Override
    public boolean isDrained() {
        return planner.openRequests() == 0 && clients.isEmpty();
    }

    @Override
    public void tick() {
        planner.tick(clock.getAsDouble()).forEach(command -> command.executeBy(this));
    }

    /** Returns false if there are too many clients already. */
    boolean connected(ClientSession client) {
        clients.add(client);
        return clients.size() <= config.bounds().maxClients();
    }

    void disconnected(ClientSession client) {
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

    boolean keep(int bytes) {
        return texts.reserve(bytes);
    }

    void forget(int bytes) {
        texts.release(bytes);
    }

    Spool spool() {
        return spool;
    }

    /** The spool has no room for the result: refused before the planner has taken it. */
    void turnedAway(Query query) {
        figures.ended(className(query), Metrics.Ending.THROTTLED);
    }

    String statistics() {
        return "Clients: " + clients.size() + "  Open: " + planner.openRequests() + "  Engines: " + engines.size();
    }

    /** Every class stands twice in the planner's settings: for what only reads, and for what may write. */
    int typeOf(String text, boolean writes) {
        return 2 * config.classOf(text) + (writes ? 1 : 0);
    }

    /** Returns false where there is no room for the request, which must then be refused. */
    boolean take(Query query) {
        boolean taken = intake != Admission.REJECTING && hasRoom(query);
        if (!taken) {
            figures.ended(className(query), Metrics.Ending.THROTTLED);
        }
        return taken;
    }

    private String className(Query query) {
        return config.classes().get(query.place()).name();
    }

    private boolean hasRoom(Query query) {
        double deadline = config.classes().get(query.place()).deadlineMs();
        query.request = planner.admit(
                clock.getAsDouble(), new RequestAttributes(query.type, 0, deadline, 0, 0, 0, false), query);
        news.run();
        return query.request != GenerationalTable.FULL;
    }

    void abort(Query query) {
        planner.cancelRequest(query.request);
        news.run();
    }

    @Override
    public void startAttempt(Command.StartAttempt<Query> c) {
        Query query = c.exchange();
        query.runOf = c.attempt();
        query.spooled = null;
        query.run = new MysqlRun(query.work, query.settings, c.timeoutMs(), new Reports(query, c.attempt()));
        EngineLinks links = engines.get(c.engine());
        if (links == null) {
            query.run.end(AttemptOutcome.CONNECT_FAILED);
        } else {
            links.start(query.run);
        }
    }

    @Override
    public void cancelAttempt(Command.CancelAttempt<Query> c) {
        Query query = c.exchange();
        if (query.runOf == c.attempt() && !query.run.isOver() && query.run.link != null) {
            query.run.link.stop();
        }
    }

    /** The protocol has no priorities. */
    @Override
    public void changePriority(Command.ChangePriority<Query> c) {}

    /** The settings of this pool ask for no probes. */
    @Override
    public void checkHealth(Command.CheckHealth<Query> c) {}

    /** Nor do its front ends talk to each other. */
    @Override
    public void broadcastGossip(Command.BroadcastGossip<Query> c) {}

    @Override
    public void reject(Command.Reject<Query> c) {
        c.exchange().client.refuse(c.exchange(), c.retryAfterMs());
    }

    @Override
    public void fail(Command.Fail<Query> c) {
        c.exchange().client.fail(c.exchange());
    }

    /** Joins one attempt's run to the planner and the client. */
    private final class Reports implements MysqlRun.Listener {
        private final Query query;
        private final int attempt;

        Reports(Query query, int attempt) {
            this.query = query;
            this.attempt = attempt;
        }

        @Override
        public void written() {
            figures.relayed();
        }

        @Override
        public SpooledResult spool() {
            query.spooled = spool.begin(query.client.user(), query.spooling.key(), query.spooling.digest());
            return query.spooled;
        }

        @Override
        public boolean spoolsAll() {
            return !query.spooling.isPlain();
        }

        @Override
        public boolean opened() {
            query.open = planner.responseStarted(query.request, attempt);
            if (query.open) {
                query.client.opened(query);
            }
            return query.open;
        }

        @Override
        public void ended(AttemptOutcome outcome, ByteBuf reply) {
            boolean served = planner.attemptEnded(query.request, attempt, outcome);
            if (query.open) {
                query.client.passed(query);
            } else if (served) {
                query.client.served(query, reply);
            } else if (reply != null) {
                reply.release();
            }
            news.run();
        }
    }
}
