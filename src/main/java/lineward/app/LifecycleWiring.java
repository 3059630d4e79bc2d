package lineward.app;

import java.nio.file.Path;
import java.util.List;
import lineward.frontend.ProtocolServer;
import lineward.lifecycle.HotRestart;
import lineward.lifecycle.Lifecycle;

/** Wires graceful shutdown and hot restart. */
final class LifecycleWiring {
    /**
     * Maximum time that a restart allows for the longest class deadline, counted from SIGTERM; the platform
     * sends SIGKILL 0.7 s after this time.
     */
    static final int MAX_RESTART_DEADLINE_MS = 3000;
    /** The same maximum for a hot restart, where another process accepts on the socket. */
    private static final int MAX_HOT_RESTART_DEADLINE_MS = 5000;
    /** Open requests are failed this long after the longest class deadline, 0.4 s before SIGKILL. */
    private static final int SHUTDOWN_GRACE_MS = 300;
    /** Names the directory through which the processes of a hot restart share their state. */
    private static final String SHARED_FOLDER_VARIABLE = "TMPDIR";

    private static final String MYSQL_ONLY_NAME = "mysql";

    /**
     * The properties of this process that its lifecycle depends on.
     *
     * @param name name of the front end, the same in all of its processes
     * @param isListenerShared whether other processes accept on the clients' socket
     * @param longestDeadlineMs longest deadline of the classes of requests
     */
    record ProcessProperties(String name, boolean isListenerShared, double longestDeadlineMs) {
        /** Returns the properties of a process that serves MySQL clients only. */
        static ProcessProperties mysqlOnly() {
            return new ProcessProperties(MYSQL_ONLY_NAME, false, MAX_RESTART_DEADLINE_MS);
        }

        /** Returns the time after SIGTERM at which open requests are failed. */
        int shutdownDeadlineMs() {
            int maxDeadlineMs = isListenerShared ? MAX_HOT_RESTART_DEADLINE_MS : MAX_RESTART_DEADLINE_MS;
            return (int) Math.min(longestDeadlineMs, maxDeadlineMs) + SHUTDOWN_GRACE_MS;
        }
    }

    private LifecycleWiring() {}

    /** Returns the lifecycle of all protocol servers of the front end. */
    static Lifecycle create(FrontEndContext context, ProcessProperties process) {
        List<ProtocolServer> servers = context.protocolServers();
        String folder = context.environment().getOrDefault(SHARED_FOLDER_VARIABLE, "");
        Path sharedFolder = folder.isBlank() ? null : Path.of(folder);
        HotRestart hotRestart =
                new HotRestart(sharedFolder, process.name(), context.clock(), new RestartListener(servers));
        return new Lifecycle(
                context.eventLoop(),
                context.ticker(),
                servers,
                context.metrics(),
                hotRestart,
                new Lifecycle.ShutdownOptions(process.isListenerShared(), process.shutdownDeadlineMs()));
    }

    /** Applies changes of engines' maintenance and of the quota to all protocol servers. */
    private record RestartListener(List<ProtocolServer> servers) implements HotRestart.Listener {
        @Override
        public void maintenanceChanged(String engine, boolean excluded, double sinceMs) {
            servers.forEach(server -> server.setMaintenance(engine, excluded, sinceMs));
        }

        @Override
        public void quotaChanged(double quota) {
            servers.forEach(server -> server.coordinator().setQuota(quota));
        }
    }
}
