package lineward.app;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import lineward.frontend.ProtocolServer;
import lineward.lifecycle.EventLoopMonitor;
import lineward.lifecycle.Lifecycle;
import lineward.lifecycle.Ticker;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A front end. The main thread adds its servers and starts it; after SIGTERM it runs until it has written the
 * last response.
 */
final class FrontEnd {
    private static final Logger LOG = LoggerFactory.getLogger(FrontEnd.class);
    /** Interval of checks for engine connections that have exceeded their idle timeout. */
    private static final int IDLE_CHECK_PERIOD_MS = 1000;
    /** Interval of checks for unresponsive clients. */
    private static final int CLIENT_CHECK_PERIOD_MS = 100;

    private final FrontEndContext context = new FrontEndContext();
    private final TelemetryWiring telemetry = new TelemetryWiring(context.metrics(), context.environment());
    private final DiscoveryWiring discovery = new DiscoveryWiring(context);
    private LifecycleWiring.ProcessProperties process = LifecycleWiring.ProcessProperties.mysqlOnly();
    /** Null if the configuration names no admin endpoint. */
    private InetSocketAddress adminAddress;

    private Lifecycle lifecycle;

    /**
     * Adds the server for the platform's protocol; throws a {@link ConfigException} if the file can't be
     * used.
     */
    void addPlatformServer(PlatformConfigFile file) {
        PlatformConfig config = file.read();
        process = new ThriftWiring(context, config).connect(telemetry, discovery, file);
        adminAddress = config.addresses().admin();
    }

    /**
     * Adds the server for MySQL clients if the file has a listen address; throws a {@link ConfigException} if
     * the file can't be used.
     */
    void addMysqlServer(MysqlConfigFile file) {
        new MysqlWiring(context, file).connect(telemetry);
    }

    /**
     * Handles SIGHUP: reads the address of service discovery from the platform's file again. Other settings
     * take effect at the next start only. May be called on any thread, even during the start.
     */
    void reload() {
        discovery.reloadAddress();
    }

    /**
     * Starts the servers and returns; throws a {@link ConfigException} if there is none or one can't listen.
     */
    void run() {
        lifecycle = LifecycleWiring.create(context, process);
        // Registered before the start: clients may connect during it, and SIGTERM must drain them too.
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
        EventLoopMonitor.watch(context.eventLoopGroup(), Runtime.getRuntime()::halt);
        context.runOnEventLoop(lifecycle::startStateExchange);
        servers.forEach(server -> startPeriodicTasks(ticker, server));
        AdminWiring.start(context, lifecycle, adminAddress);
        context.startActions().forEach(Runnable::run);
        for (ProtocolServer server : servers) {
            SocketAddress address = FrontEndContext.awaitBound(server.listen(context.eventLoopGroup()));
            LOG.info("server listening: address={}", address);
        }
        if (servers.isEmpty()) {
            throw ConfigException.unusable("nothing to serve: the MySQL file has no listen address");
        }
        context.runOnEventLoop(lifecycle::startServing);
    }

    /** Each server has tasks of its own, so that the failure of one does not keep the others from theirs. */
    private static void startPeriodicTasks(Ticker ticker, ProtocolServer server) {
        ticker.every(Ticker.TICK_MS, server::tick);
        ticker.every(CLIENT_CHECK_PERIOD_MS, server::runPeriodicTasks);
        ticker.every(IDLE_CHECK_PERIOD_MS, server::closeIdleEngineConnections);
    }

    /** Shuts down gracefully and ends the process with status 0, instead of the one that SIGTERM causes. */
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
            // The process ends anyway; spool files are recovered at the next start.
            LOG.warn("close failed at shutdown: resource={} cause={}", closeable, String.valueOf(e));
        }
    }
}
