package lineward.app;

import java.net.InetSocketAddress;
import java.util.List;
import lineward.frontend.ProtocolServer;
import lineward.lifecycle.Lifecycle;
import lineward.lifecycle.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One front end: its subsystems are added on the main thread, then it runs until the last response. */
final class FrontEnd {
    private static final Logger LOG = LoggerFactory.getLogger(FrontEnd.class);
    /** How often engine connections that have been idle for long are looked for. */
    private static final int IDLE_INTERVAL_MS = 1000;
    /** How often clients that have been silent for long are looked for. */
    private static final int UNRESPONSIVE_INTERVAL_MS = 100;

    private final FrontEndContext context = new FrontEndContext();
    private final TelemetryWiring telemetry = new TelemetryWiring(context.metrics(), context.environment());
    private final DiscoveryWiring discovery = new DiscoveryWiring(context);
    private LifecycleWiring.Instance instance = LifecycleWiring.Instance.mysqlOnly();
    /** Null where the configuration names no admin endpoint. */
    private InetSocketAddress adminAddress;

    private Lifecycle lifecycle;

    /** Adds the platform's server; throws a {@link ConfigException} if the file can't be used. */
    void addPlatform(ConfigFile file) {
        Config config = file.read();
        instance = new ThriftWiring(context, config).connect(telemetry, discovery, file);
        adminAddress = config.addresses().admin();
    }

    /** Adds the server of MySQL clients, unless its file names no address to listen on. */
    void addMysql(MysqlFile file) {
        new MysqlWiring(context, file).connect(telemetry);
    }

    /**
     * SIGHUP: follows the discovery service to the address that now stands in the platform's file; all other
     * settings hold until the next start. May come while the front end starts.
     */
    void reload() {
        discovery.reloadAddress();
    }

    /** Starts all servers and returns; the process then runs until SIGTERM and the last response after it. */
    void run() {
        lifecycle = LifecycleWiring.create(context, instance);
        // Clients may come between the first listener and the end of the start: SIGTERM must drain them too.
        Thread shutdownHook = new Thread(this::terminate, "end");
        Runtime.getRuntime().addShutdownHook(shutdownHook);
        try {
            start();
        } catch (RuntimeException e) {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
            throw e;
        }
    }

    private void start() {
        List<ProtocolServer> servers = context.protocolServers();
        Ticker ticker = context.ticker();
        context.runOnEventLoop(lifecycle::joinHotRestart);
        ticker.every(Ticker.TICK_MS, () -> servers.forEach(ProtocolServer::tick));
        ticker.every(UNRESPONSIVE_INTERVAL_MS, () -> servers.forEach(ProtocolServer::closeUnresponsive));
        ticker.every(IDLE_INTERVAL_MS, () -> servers.forEach(ProtocolServer::closeIdleEngineConnections));
        AdminWiring.start(context, lifecycle, adminAddress);
        context.startActions().forEach(Runnable::run);
        for (ProtocolServer server : servers) {
            LOG.info("listening on {}", FrontEndContext.awaitBound(server.listen(context.eventLoopGroup())));
        }
        if (servers.isEmpty()) {
            throw ConfigException.unusable("nothing to serve: the MySQL file names no address to listen on");
        }
        context.runOnEventLoop(lifecycle::serve);
    }

    /** Ends the process with status 0 once all requests have been answered. */
    private void terminate() {
        lifecycle.shutdownGracefully();
        context.closeables().forEach(FrontEnd::close);
        telemetry.close();
        Runtime.getRuntime().halt(0);
    }

    private static void close(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // The process ends all the same: what is left on file is recovered at the next start.
            LOG.warn("not closed at shutdown: resource={} cause={}", closeable, String.valueOf(e));
        }
    }
}
