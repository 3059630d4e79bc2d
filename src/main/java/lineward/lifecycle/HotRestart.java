package lineward.lifecycle;

import java.io.IOException;
import java.nio.file.Path;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shares operators' maintenance orders among the processes of one front end during a hot restart, and with
 * the process that takes over. Each process writes a file of its own and reads those of the others. A file
 * that can't be read or that has not been written lately is skipped. {@link HotRestartPolicy} decides; this
 * class reads, writes, logs and notifies. Runs on the event loop.
 */
public final class HotRestart {
    /** Is notified of what is in effect from now on. */
    public interface Listener {
        /**
         * An engine gets no requests, or is used again.
         *
         * @param excluded true while the engine gets no requests
         * @param sinceMs when the operator gave the order, in Unix milliseconds
         */
        void maintenanceChanged(String engine, boolean excluded, double sinceMs);

        /** The part of this front end's work that falls to this process, in (0, 1]. */
        void quotaChanged(double quota);
    }

    /** The interval at which a process that runs rewrites its file. */
    static final int HEARTBEAT_MS = 500;

    private static final Logger LOG = LoggerFactory.getLogger(HotRestart.class);

    private final HotRestartPolicy policy = new HotRestartPolicy();
    /** Null where the processes share no directory. */
    private final PeerStateFiles files;

    private final DoubleSupplier clock;
    private final Listener listener;
    private boolean failureLogged;
    private boolean left;

    /**
     * Prepares the exchange; nothing is read or written yet.
     *
     * @param directory shared by the processes of a hot restart alone; null: nothing is shared
     * @param name of this front end, the same for the process that takes over
     * @param clock Unix milliseconds
     */
    public HotRestart(Path directory, String name, DoubleSupplier clock, Listener listener) {
        long startedAtMs = Math.round(clock.getAsDouble());
        this.files = directory == null ? null : new PeerStateFiles(directory, name, startedAtMs);
        this.clock = clock;
        this.listener = listener;
    }

    /** Returns whether that engine gets no requests by an operator's order. */
    public boolean isExcluded(String engine) {
        return policy.isExcluded(engine);
    }

    /** An operator has given an order: it is in effect here, and in the file when this returns. */
    public void setMaintenance(String engine, boolean excluded) {
        apply(new MaintenanceOrder(engine, excluded, clock.getAsDouble()));
        writeState();
    }

    private void apply(MaintenanceOrder order) {
        if (policy.apply(order)) {
            String change = order.excluded() ? "is held out" : "is used again";
            LOG.info("query engine {} {}", order.engine(), change);
            listener.maintenanceChanged(order.engine(), order.excluded(), order.sinceMs());
        }
    }

    /** Writes this process's file, which is its heartbeat to the others as well. */
    public void writeState() {
        if (files == null || left) {
            return;
        }
        try {
            files.write(policy.snapshot(clock.getAsDouble()));
            failureLogged = false;
        } catch (IOException e) {
            logFirstFailure("maintenance orders not shared: cause=" + e);
        }
    }

    /** Reads what the other processes of this front end have written. */
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
            logFirstFailure("other processes not seen: cause=" + e);
        }
        if (policy.setRunningPeers(runningPeers)) {
            LOG.info("quota of this process changed: quota={}", policy.quota());
            listener.quotaChanged(policy.quota());
        }
    }

    /**
     * Takes in the orders in that file, or deletes it if it has expired; returns whether its process runs.
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
            String fileName = file.getFileName().toString();
            logFirstFailure("file of another process skipped: file=" + fileName + " cause=" + e.getMessage());
            return false;
        }
    }

    /** This process ends: the process that takes over has read what it wrote. */
    public void leave() {
        left = true;
        if (files != null) {
            files.deleteOwn();
        }
    }

    /** Logs one line for a row of failures, which ends with the next write that succeeds. */
    private void logFirstFailure(String failure) {
        if (!failureLogged) {
            failureLogged = true;
            LOG.warn("{}", failure);
        }
    }
}
