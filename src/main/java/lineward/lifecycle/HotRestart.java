package lineward.lifecycle;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges state with the other processes of this front end, which run beside this one during a hot restart:
 * operators' maintenance commands, and a heartbeat, from which each process derives its quota. Each process
 * writes its own file and reads the files of the others. A file that can't be read is skipped; one that has
 * expired is deleted. {@link HotRestartPolicy} decides; this class reads, writes, logs and notifies. Runs on
 * the event loop, which its reads and writes block briefly: the files are a few hundred bytes in a directory
 * of the local machine.
 */
public final class HotRestart {
    /** Receives the changes that other parts of this process must apply; called on the event loop. */
    public interface Listener {
        /**
         * An engine has been excluded from requests, or its exclusion has ended.
         *
         * @param excluded whether the engine gets no requests from now on
         * @param sinceMs when the operator gave the command, in Unix milliseconds
         */
        void maintenanceChanged(String engine, boolean excluded, double sinceMs);

        /**
         * The quota of this process has changed.
         *
         * @param quota the fraction of the front end's load for this process, in (0, 1]
         */
        void quotaChanged(double quota);
    }

    private enum Operation {
        WRITE,
        LIST,
        READ
    }

    /** Interval at which a running process rewrites its file. */
    static final int HEARTBEAT_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(HotRestart.class);

    private final HotRestartPolicy policy = new HotRestartPolicy();
    /** Null if no state is exchanged. */
    private final PeerStateFiles files;

    private final DoubleSupplier clock;
    private final Listener listener;
    private boolean failureLogged;
    private boolean stopped;

    /**
     * Prepares the exchange without reading or writing anything.
     *
     * @param directory directory that only the processes of a hot restart use; null if no state is exchanged
     * @param name name of this front end, the same in all of its processes
     * @param clock current time in Unix milliseconds
     */
    public HotRestart(Path directory, String name, DoubleSupplier clock, Listener listener) {
        long startedAtMs = Math.round(clock.getAsDouble());
        this.files = directory == null ? null : new PeerStateFiles(directory, name, startedAtMs);
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether an operator has excluded the engine from requests. */
    public boolean isExcluded(String engine) {
        return policy.isExcluded(engine);
    }

    /**
     * Applies an operator's command. When this method returns, the command is in effect and has been written
     * to this process's file, unless the write failed.
     */
    public void setMaintenance(String engine, boolean excluded) {
        apply(new MaintenanceCommand(engine, excluded, clock.getAsDouble()));
        writeState();
    }

    private void apply(MaintenanceCommand command) {
        if (policy.apply(command)) {
            String event = command.excluded() ? "started" : "ended";
            LOG.info("engine maintenance {}: engine={}", event, command.engine());
            listener.maintenanceChanged(command.engine(), command.excluded(), command.sinceMs());
        }
    }

    /** Writes this process's file; the time in the file is the heartbeat of this process. */
    public void writeState() {
        if (files == null || stopped) {
            return;
        }
        try {
            files.write(policy.snapshot(clock.getAsDouble()));
            failureLogged = false;
        } catch (IOException e) {
            logFirstFailure(Operation.WRITE, files.ownFile(), e);
        }
    }

    /** Applies the commands in the files of the other processes, and updates the quota. */
    public void readPeers() {
        if (files == null) {
            return;
        }
        int runningPeers = 0;
        try {
            for (Path file : files.listPeers()) {
                runningPeers += readPeer(file) ? 1 : 0;
            }
        } catch (IOException e) {
            logFirstFailure(Operation.LIST, files.directory(), e);
        }
        if (policy.setRunningPeers(runningPeers)) {
            LOG.info("quota of this process changed: quota={}", policy.quota());
            listener.quotaChanged(policy.quota());
        }
    }

    /**
     * Applies the commands in a file, or deletes the file if it has expired. Returns whether the process that
     * wrote it is running.
     */
    private boolean readPeer(Path file) {
        try {
            PeerState peer = files.read(file);
            HotRestartPolicy.PeerStatus status = policy.statusOf(peer, clock.getAsDouble());
            if (status == HotRestartPolicy.PeerStatus.EXPIRED) {
                files.delete(file);
                return false;
            }
            for (MaintenanceCommand command : peer.commands()) {
                if (policy.hasPlausibleTime(command, clock.getAsDouble())) {
                    apply(command);
                }
            }
            return status == HotRestartPolicy.PeerStatus.RUNNING;
        } catch (IOException e) {
            logFirstFailure(Operation.READ, file, e);
            return false;
        }
    }

    /**
     * Ends the exchange at the end of this process: deletes its file, which the process that takes over has
     * read by then, and prevents further writes.
     */
    public void stop() {
        stopped = true;
        if (files != null) {
            files.deleteOwnFile();
        }
    }

    /** Logs only the first of a series of failures; a successful write ends the series. */
    private void logFirstFailure(Operation operation, Path file, IOException failure) {
        if (!failureLogged) {
            failureLogged = true;
            LOG.warn(
                    "hot restart state not exchanged: operation={} file={} cause={}",
                    operation,
                    file,
                    String.valueOf(failure));
        }
    }
}
