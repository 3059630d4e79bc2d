package lineward.app;

import java.nio.file.Path;
import java.util.List;
import lineward.frontend.ProtocolServer;
import lineward.lifecycle.HotRestart;
import lineward.lifecycle.Lifecycle;

/** Wires graceful shutdown and hot restart. */
final class LifecycleWiring {
    /**
     * Upper limit on the longest deadline of the classes at a restart; the platform sends SIGKILL 0.7 s after
     * that deadline.
     */
    static final int MAX_RESTART_MS = 3000;
    /**
     * Upper limit on the longest deadline at a hot restart, during which another process accepts on the
     * socket.
     */
    private static final int MAX_HOT_RESTART_MS = 5000;
    /** Open requests are failed this long after the longest deadline, 0.4 s before SIGKILL. */
    private static final int SHUTDOWN_GRACE_MS = 300;
    /** Environment variable for the directory that the processes of a hot restart share. */
    private static final String SHARED_FOLDER_VARIABLE = "TMPDIR";

    private static final String MYSQL_ONLY_NAME = "mysql";

    /**
     * The properties of this process that its lifecycle depends on.
     *
     * @param name of the front end; the process that takes over uses the same name
     * @param isListenerInherited whether other processes accept on the clients' socket
     * @param longestDeadlineMs the longest deadline of the classes of requests
     */
    record Instance(String name, boolean isListenerInherited, double longestDeadlineMs) {
        /** Returns the properties of a process that serves MySQL clients only. */
        static Instance mysqlOnly() {
            return new Instance(MYSQL_ONLY_NAME, false, MAX_RESTART_MS);
        }

        /** Returns the time after SIGTERM at which open requests are failed. */
        int shutdownDeadlineMs() {
            int maxDeadlineMs = isListenerInherited ? MAX_HOT_RESTART_MS : MAX_RESTART_MS;
            return (int) Math.min(longestDeadlineMs, maxDeadlineMs) + SHUTDOWN_GRACE_MS;
        }
    }

    private LifecycleWiring() {}

    /** Returns the lifecycle of all protocol servers of the front end. */
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

    /**
     * Applies the maintenance commands of operators and other processes, and the quota, to all protocol
     * servers.
     */
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
