package lineward.app;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import lineward.core.Coordinator;
import lineward.mysql.MysqlConfig;
import lineward.mysql.MysqlServer;
import lineward.mysql.client.Query;
import lineward.mysql.engine.EngineConfig;
import lineward.operations.Metrics;
import lineward.scheduling.execution.SpeculativeScheduler;
import lineward.spool.Spool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Wires the MySQL protocol: a server with its own coordinator, a spool, and the reload of the engine list.
 */
final class MysqlWiring {
    private static final Logger LOG = LoggerFactory.getLogger(MysqlWiring.class);
    /** Interval of checks for a changed file: draining an engine must take effect within a second. */
    private static final int RELOAD_INTERVAL_MS = 200;

    private final FrontEndContext context;
    private final MysqlConfigFile file;

    MysqlWiring(FrontEndContext context, MysqlConfigFile file) {
        this.context = context;
        this.file = file;
    }

    /** Adds the server to the front end if the file has a listen address. */
    void connect(TelemetryWiring telemetry) {
        MysqlConfig config = file.read();
        if (config.listenAddress() == null) {
            return;
        }
        List<String> classNames =
                config.classes().stream().map(MysqlConfig.QueryClass::name).toList();
        Coordinator<Query> coordinator = new Coordinator<>(
                new SpeculativeScheduler(MysqlSchedulerSettings.of(config), System.nanoTime()),
                FrontEndContext.MAX_OPEN_REQUESTS,
                MysqlServer.MAX_CANCEL_DURATION_MS,
                telemetry.tracer(query -> classNames.get(query.classIndex())));
        Spool spool = SpoolWiring.open(context, config.spool());
        DoubleSupplier clock = context.clock();
        Metrics metrics = context.metrics();
        TickCoalescer tick = new TickCoalescer(context.eventLoop());
        MysqlServer server =
                new MysqlServer(context.eventLoopGroup(), config, coordinator, clock, tick, metrics, spool);
        metrics.registerClasses(classNames);
        tick.setServer(server);
        context.runOnEventLoop(() -> server.updateEngines(config.engines()));
        context.protocolServers().add(server);
        Runnable reload = () -> reload(server::updateEngines);
        context.startActions().add(() -> context.ticker().every(RELOAD_INTERVAL_MS, reload));
    }

    private void reload(Consumer<List<EngineConfig>> engines) {
        if (!file.hasChanged()) {
            return;
        }
        try {
            engines.accept(file.read().engines());
        } catch (ConfigException e) {
            LOG.warn("engine list not reloaded, the last valid one stays in use: cause={}", e.getMessage());
        }
    }
}
