package lineward.app;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import lineward.core.Coordinator;
import lineward.core.MonotonicClock;
import lineward.core.Tracer;
import lineward.discovery.DiscoveryClient;
import lineward.discovery.EndpointList;
import lineward.engine.EngineCluster;
import lineward.frontend.Listener;
import lineward.frontend.ProtocolServer;
import lineward.gossip.GossipSocket;
import lineward.lifecycle.HotRestart;
import lineward.lifecycle.InheritedListener;
import lineward.lifecycle.Lifecycle;
import lineward.lifecycle.Ticker;
import lineward.mysql.MysqlConfig;
import lineward.mysql.MysqlServer;
import lineward.mysql.Query;
import lineward.operations.AdminServer;
import lineward.operations.Metrics;
import lineward.operations.MetricsTracer;
import lineward.scheduling.SpeculativeScheduler;
import lineward.spool.Spool;
import lineward.telemetry.Telemetry;
import lineward.thrift.Call;
import lineward.thrift.ProtocolWarmup;
import lineward.thrift.ThriftServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Wires one front end: one event loop, its tick, the fronts with a planner each, the second address. */
final class FrontEnd {
    private static final Logger LOG = LoggerFactory.getLogger(FrontEnd.class);
    /** A word to give up crosses the floors well within this. */
    private static final double STOP_TAKES_MS = 6;

    private static final int MOST_REQUESTS = 8192;
    /** Open requests for each megabyte of the memory, and the parts of it for what is held of them. */
    private static final int REQUESTS_PER_MB = 64;

    private static final int STATEMENT_PART = 16;
    private static final int ANSWER_PART = 12;
    /** Clients may take a third of the descriptors; the rest is for those that stay and for bad ones. */
    private static final double CLIENT_PART = 0.5;
    /** Part of the descriptors that connections to engines may take. */
    private static final double LINK_PART = 0.35;
    /**
     * SIGKILL comes 0.7 s after the longest deadline, which counts as so long at most at a restart and at an
     * upgrade: who waits must have heard by then.
     */
    private static final int LONGEST_RESTART_MS = 3000;

    private static final int LONGEST_UPGRADE_MS = 5000;
    private static final int LAST_WORD_BEHIND_MS = 300;
    private static final String INHERITED = "RELAY_ACCEPT_FD";
    private static final int IDLE_SWEEP_MS = 1000;
    private static final int SILENCE_SWEEP_MS = 100;
    /** The journal's poll needs no finer clock, and each tick wakes the loop. */
    private static final int POLL_TICK_MS = 20;
    /** How often the MySQL file is looked at: a drain must be known well within a second. */
    private static final int FILE_SWEEP_MS = 200;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Ticker ticker = new Ticker(loop);
    private final MonotonicClock clock = new MonotonicClock();
    private final List<ProtocolServer> doors = new ArrayList<>();
    private final List<Runnable> starts = new ArrayList<>();
    private final List<AutoCloseable> closings = new ArrayList<>();
    private DiscoveryClient journal;
    private boolean hungUp;
    private final Metrics figures = new Metrics();
    private InetSocketAddress management;
    private Lifecycle lifecycle;
    private String name = "mysql";
    private boolean inherited;
    private double longestMs = LONGEST_RESTART_MS;
    private final Telemetry telemetry;

    FrontEnd() {
        Map<String, String> environment = System.getenv();
        try {
            telemetry = Telemetry.isOn(environment)
                    ? Telemetry.start(environment, environment.getOrDefault("RELAY_NAME", "lineward"))
                    : null;
        } catch (IllegalArgumentException e) {
            throw new ConfigException(e.getMessage());
        }
    }

    private <X> Tracer<X> tracer(Function<X, String> classOf) {
        Tracer<X> counts = new MetricsTracer<>(figures, classOf, new LogTracer<>());
        return telemetry == null ? counts : telemetry.tracer(classOf, Object::toString, counts);
    }

    /** Adds the platform's front; the configuration came from that path and is read there again. */
    void addPlatform(Config config, String path) {
        int mostRequests = Math.min(MOST_REQUESTS, config.memoryMb() * REQUESTS_PER_MB);
        Coordinator<Call> planner = new Coordinator<>(
                new SpeculativeScheduler(config.settings(), config.seed()),
                mostRequests,
                STOP_TAKES_MS,
                tracer(Call::op));
        EngineCluster fleet = new EngineCluster(
                group,
                new EngineCluster.Limits(
                        config.limit("connect-timeout").asInt(250),
                        config.limit("conn-idle").asDouble(30_000),
                        config.limit("streams-per-conn").asInt(100),
                        (int) (config.sockets() * LINK_PART),
                        !config.settings().reporting().fields().isEmpty()),
                figures::relayed);
        figures.announce(config.names("classes"));
        News news = new News();
        ThriftServer.Names names = new ThriftServer.Names(
                config.names("classes"),
                config.names("tenants"),
                config.settings().classes().stream()
                        .map(c -> c.objective().deadlineMs())
                        .toList());
        long memory = (long) config.memoryMb() << 20;
        ThriftServer.Bounds bounds = new ThriftServer.Bounds(
                (int) (config.sockets() * CLIENT_PART), memory / STATEMENT_PART, memory / ANSWER_PART);
        onLoop(() -> {
            lineward.engine.EngineWarmup.run();
            ProtocolWarmup.run(
                    names,
                    bounds,
                    new Coordinator<>(
                            new SpeculativeScheduler(config.settings(), 0),
                            mostRequests,
                            STOP_TAKES_MS,
                            new LogTracer<>()),
                    fleet,
                    clock);
        });
        ThriftServer front = new ThriftServer(
                names,
                bounds,
                doorway(config),
                planner,
                fleet,
                clock,
                news,
                figures,
                peers(config.peers(), planner, news));
        news.door = front;
        EndpointList list = new EndpointList(config.names("skus"), config.names("zones"), (whole, entries) -> {
            fleet.updateEndpoints(whole, entries);
            planner.endpointsChanged(whole, entries);
            news.run();
        });
        onLoop(() -> {
            try {
                list.apply(config.known());
            } catch (IllegalArgumentException e) {
                throw new ConfigException("known: " + e.getMessage());
            }
        });
        doors.add(front);
        onLoop(() -> {
            journal = new DiscoveryClient(
                    loop, config.journal(), list, () -> Config.read(path).journal(), clock);
            if (hungUp) {
                journal.reloadAddress();
            }
        });
        figures.listAge(journal::ageMs);
        starts.add(() -> {
            // Danger: what the first poll loads must not fall into the first client's time.
            onLoop(journal::tick);
            ticker.every(POLL_TICK_MS, journal::tick);
        });
        management = config.management();
        name = config.name() + '-' + config.listen().getPort();
        longestMs = names.deadlines().stream().mapToDouble(d -> d).max().orElse(LONGEST_RESTART_MS);
    }

    /** Returns where words for the other front ends go; nowhere, with no socket, where the settings bar it. */
    private Consumer<byte[]> peers(Config.Peers peers, Coordinator<Call> planner, News news) {
        if (peers == null) {
            return octets -> {};
        }
        GossipSocket socket = new GossipSocket(peers.numbers(), peers.all(), (from, octets) -> {
            planner.gossipReceived(from, octets);
            news.run();
        });
        starts.add(() -> {
            ChannelFuture opening = socket.open(group, peers.listen()).awaitUninterruptibly();
            if (!opening.isSuccess()) {
                LOG.warn(
                        "serving without words of the other front ends: {}",
                        opening.cause().toString());
            }
        });
        return socket::broadcast;
    }

    private Listener doorway(Config config) {
        String descriptor = System.getenv().getOrDefault(INHERITED, "");
        if (descriptor.isBlank()) {
            return Listener.at(config.listen());
        }
        try {
            inherited = true;
            return InheritedListener.fromDescriptor(descriptor);
        } catch (IllegalArgumentException e) {
            throw new ConfigException(INHERITED + ": " + e.getMessage());
        }
    }

    /** Adds the MySQL front, unless its file names no address to listen on. */
    void addMysql(MysqlFile file) {
        MysqlConfig config = file.read();
        if (config.listen() == null) {
            return;
        }
        Coordinator<Query> planner = new Coordinator<>(
                new SpeculativeScheduler(MysqlSettings.of(config), System.nanoTime()),
                MOST_REQUESTS,
                MysqlServer.STOP_TAKES_MS,
                tracer(query -> config.classes().get(query.place()).name()));
        News news = new News();
        Spool spool = Spools.open(config.spool(), loop, clock);
        closings.add(spool);
        figures.spool(spool::figures);
        MysqlServer front = new MysqlServer(group, config, planner, clock, news, figures, spool);
        figures.announce(
                config.classes().stream().map(MysqlConfig.QueryClass::name).toList());
        news.door = front;
        onLoop(() -> front.engines(config.engines()));
        doors.add(front);
        starts.add(() -> ticker.every(FILE_SWEEP_MS, () -> reload(file, front::engines)));
    }

    private static void reload(MysqlFile file, Consumer<List<MysqlConfig.Engine>> engines) {
        if (file.hasChanged()) {
            try {
                engines.accept(file.read().engines());
            } catch (ConfigException e) {
                LOG.warn("the engines stay as they were: {}", e.getMessage());
            }
        }
    }

    /**
     * SIGHUP: the platform's file is read anew and the journal followed to the address that then stands
     * there; the rest of it holds from a start to the next. One that comes amid the start is heard too.
     */
    void hangUp() {
        loop.execute(() -> {
            hungUp = true;
            if (journal != null) {
                journal.reloadAddress();
            }
        });
    }

    /** Starts all fronts; the process then runs until SIGTERM and the last answer after it. */
    void run() {
        lifecycle = lifecycle();
        // Danger: clients may have come between the first listener and this.
        Thread atEnd = new Thread(this::end, "end");
        Runtime.getRuntime().addShutdownHook(atEnd);
        try {
            start();
        } catch (RuntimeException e) {
            Runtime.getRuntime().removeShutdownHook(atEnd);
            throw e;
        }
    }

    private void start() {
        onLoop(lifecycle::begin);
        ticker.every(Ticker.TICK_MS, () -> doors.forEach(ProtocolServer::tick));
        ticker.every(SILENCE_SWEEP_MS, () -> doors.forEach(ProtocolServer::closeUnresponsive));
        ticker.every(IDLE_SWEEP_MS, () -> doors.forEach(ProtocolServer::closeIdleEngineConnections));
        if (management != null) {
            AdminServer operations = new AdminServer(lifecycle);
            LOG.info("operators call at {}", bound(operations.listen(group, management)));
            ticker.every(SILENCE_SWEEP_MS, operations::closeSilent);
        }
        starts.forEach(Runnable::run);
        for (ProtocolServer door : doors) {
            LOG.info("listening on {}", bound(door.listen(group)));
        }
        if (doors.isEmpty()) {
            throw new ConfigException("nothing to serve: the MySQL file names no address to listen on");
        }
        onLoop(lifecycle::serve);
    }

    private Lifecycle lifecycle() {
        String shared = System.getenv().getOrDefault("TMPDIR", "");
        HotRestart handOver =
                new HotRestart(shared.isBlank() ? null : Path.of(shared), name, clock, new HotRestart.Listener() {
                    @Override
                    public void heldOut(String engine, boolean out, double since) {
                        doors.forEach(d -> d.setMaintenance(engine, out, since));
                    }

                    @Override
                    public void part(double part) {
                        doors.forEach(d -> d.coordinator().setQuota(part));
                    }
                });
        return new Lifecycle(
                loop,
                ticker,
                doors,
                figures,
                handOver,
                new Lifecycle.Ending(
                        inherited,
                        (int) Math.min(longestMs, inherited ? LONGEST_UPGRADE_MS : LONGEST_RESTART_MS)
                                + LAST_WORD_BEHIND_MS));
    }

    private static SocketAddress bound(ChannelFuture listening) {
        try {
            return listening.syncUninterruptibly().channel().localAddress();
        } catch (Exception e) {
            throw new ConfigException("can't listen: " + e.getMessage());
        }
    }

    /** What came in within one turn of the loop is decided on together, at its end. */
    private final class News implements Runnable {
        private ProtocolServer door;
        private boolean pending;

        @Override
        public void run() {
            if (!pending) {
                pending = true;
                loop.execute(() -> {
                    pending = false;
                    door.tick();
                });
            }
        }
    }

    private void onLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    /** Ends the process with status 0 once all is answered. */
    private void end() {
        lifecycle.end();
        for (AutoCloseable closing : closings) {
            try {
                closing.close();
            } catch (Exception e) {
                LOG.warn("at the end: {}", e.toString());
            }
        }
        if (telemetry != null) {
            telemetry.close();
        }
        Runtime.getRuntime().halt(0);
    }
}
