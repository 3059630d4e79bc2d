package lineward.lifecycle;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shares the operators' maintenance orders among the processes of one front end during a hot restart, and
 * with the process that takes over. Each process writes its own file and reads the files of the others. A
 * file that can't be read, or that is out of date, is skipped. {@link HotRestartPolicy} decides; this class
 * reads, writes, logs and notifies. Runs on the event loop, which waits for its reads and writes: the files
 * are a few hundred bytes in a directory of the local machine.
 */
public final class HotRestart {
    /** Is notified of changes, on the event loop. */
    public interface Listener {
        /**
         * An engine is excluded from requests or used again.
         *
         * @param excluded true while the engine gets no requests
         * @param sinceMs when the operator gave the order, in Unix milliseconds
         */
        void maintenanceChanged(String engine, boolean excluded, double sinceMs);

        /** This process's quota of the front end's work has changed; it is in (0, 1]. */
        void quotaChanged(double quota);
    }

    private enum Operation {
        WRITE,
        LIST,
        READ
    }

    /** The interval at which a running process rewrites its file. */
    static final int HEARTBEAT_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(HotRestart.class);

    private final HotRestartPolicy policy = new HotRestartPolicy();
    /** Null if the processes share no directory. */
    private final PeerStateFiles files;

    private final DoubleSupplier clock;
    private final Listener listener;
    private boolean failureLogged;
    private boolean left;

    /**
     * Prepares the exchange; nothing is read or written yet.
     *
     * @param directory which only the processes of a hot restart share; null if nothing is shared
     * @param name of this front end, the same for the process that takes over
     * @param clock Unix milliseconds
     */
    public HotRestart(Path directory, String name, DoubleSupplier clock, Listener listener) {
        long startedAtMs = Math.round(clock.getAsDouble());
        this.files = directory == null ? null : new PeerStateFiles(directory, name, startedAtMs);
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether an operator has excluded the engine. */
    public boolean isExcluded(String engine) {
        return policy.isExcluded(engine);
    }

    /** An operator gives an order, which is in effect and written to the file when this returns. */
    public void setMaintenance(String engine, boolean excluded) {
        apply(new MaintenanceOrder(engine, excluded, clock.getAsDouble()));
        writeState();
    }

    private void apply(MaintenanceOrder order) {
        if (policy.apply(order)) {
            String event = order.excluded() ? "started" : "ended";
            LOG.info("engine maintenance {}: engine={}", event, order.engine());
            listener.maintenanceChanged(order.engine(), order.excluded(), order.sinceMs());
        }
    }

    /** Writes this process's file, which is also its heartbeat. */
    public void writeState() {
        if (files == null || left) {
            return;
        }
        try {
            files.write(policy.snapshot(clock.getAsDouble()));
            failureLogged = false;
        } catch (IOException e) {
            logFirstFailure(Operation.WRITE, files.own(), e);
        }
    }

    /** Applies the orders of the other processes of this front end, and updates the quota. */
    public void readPeers() {
        if (files == null) {
            return;
        }
        int runningPeers = 0;
        try {
            for (Path file : files.listPeers()) {
                runningPeers += isRunningAfterReading(file) ? 1 : 0;
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
     * Applies the orders in a file, or deletes the file if it has expired; returns whether its process runs.
     */
    private boolean isRunningAfterReading(Path file) {
        try {
            PeerState peer = files.read(file);
            HotRestartPolicy.PeerStatus status = policy.statusOf(peer, clock.getAsDouble());
            if (status == HotRestartPolicy.PeerStatus.EXPIRED) {
                files.delete(file);
                return false;
            }
            for (MaintenanceOrder order : peer.orders()) {
                if (policy.isCredible(order, clock.getAsDouble())) {
                    apply(order);
                }
            }
            return status == HotRestartPolicy.PeerStatus.RUNNING;
        } catch (IOException e) {
            logFirstFailure(Operation.READ, file, e);
            return false;
        }
    }

    /** This process ends: another process has read its orders. */
    public void leave() {
        left = true;
        if (files != null) {
            files.deleteOwn();
        }
    }

    /** Logs the first of consecutive failures, which the next successful write ends. */
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
