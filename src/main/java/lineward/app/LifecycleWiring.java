package lineward.app;

import java.nio.file.Path;
import java.util.List;
import lineward.frontend.ProtocolServer;
import lineward.lifecycle.HotRestart;
import lineward.lifecycle.Lifecycle;

/** Wires graceful shutdown and hot restart: the states of the process and what it passes to the next one. */
final class LifecycleWiring {
    /** The longest deadline that counts at a restart: SIGKILL comes 0.7 s after it. */
    static final int MAX_RESTART_MS = 3000;
    /** The longest deadline that counts at an upgrade, where the socket passes to another process. */
    private static final int MAX_UPGRADE_MS = 5000;
    /** Requests still open so long after the longest deadline fail, well before SIGKILL. */
    private static final int SHUTDOWN_GRACE_MS = 300;
    /** The variable that names the folder which the processes of an upgrade share. */
    private static final String SHARED_FOLDER_VARIABLE = "TMPDIR";

    private static final String MYSQL_ONLY_NAME = "mysql";

    /**
     * What the lifecycle has to know of this process.
     *
     * @param name the same for the process that takes over
     * @param isListenerInherited whether other processes accept on the clients' socket
     * @param longestDeadlineMs of all classes of requests
     */
    record Instance(String name, boolean isListenerInherited, double longestDeadlineMs) {
        /** Returns a process that serves MySQL clients only. */
        static Instance mysqlOnly() {
            return new Instance(MYSQL_ONLY_NAME, false, MAX_RESTART_MS);
        }

        /** Returns when, in milliseconds after SIGTERM, requests that are still open fail. */
        int shutdownDeadlineMs() {
            int maxDeadlineMs = isListenerInherited ? MAX_UPGRADE_MS : MAX_RESTART_MS;
            return (int) Math.min(longestDeadlineMs, maxDeadlineMs) + SHUTDOWN_GRACE_MS;
        }
    }

    private LifecycleWiring() {}

    /** Returns the lifecycle of all protocol servers that the front end has so far. */
    static Lifecycle create(FrontEndContext context, Instance instance) {
        List<ProtocolServer> servers = context.protocolServers();
        String folder = context.environment().getOrDefault(SHARED_FOLDER_VARIABLE, "");
        Path sharedFolder = folder.isBlank() ? null : Path.of(folder);
        HotRestart hotRestart =
                new HotRestart(sharedFolder, instance.name(), context.clock(), new RestartListener(servers));
        return new Lifecycle(
                context.eventLoop(),
                context.ticker(),
                servers,
                context.metrics(),
                hotRestart,
                new Lifecycle.ShutdownOptions(instance.isListenerInherited(), instance.shutdownDeadlineMs()));
    }

    /** Applies to all protocol servers what other processes of this front end have published. */
    private record RestartListener(List<ProtocolServer> servers) implements HotRestart.Listener {
        @Override
        public void maintenanceChanged(String engine, boolean out, double since) {
            servers.forEach(server -> server.setMaintenance(engine, out, since));
        }

        @Override
        public void quotaChanged(double quota) {
            servers.forEach(server -> server.coordinator().setQuota(quota));
        }
    }
}
