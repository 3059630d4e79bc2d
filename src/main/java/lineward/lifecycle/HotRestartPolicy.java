package lineward.lifecycle;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which maintenance orders are in effect, and this process's quota of the front end's work. Of two
 * orders on one engine the later one is in effect. Does no I/O; times are Unix milliseconds. {@link
 * HotRestart} calls it on the event loop.
 */
final class HotRestartPolicy {
    /** The status of another process, by the age of its file. */
    enum PeerStatus {
        /** It is running and has a quota. */
        RUNNING,
        /** It has ended; its orders are still in effect. */
        ENDED,
        /** It ended long ago; its file has to be deleted. */
        EXPIRED
    }

    /** Several heartbeats, so that a late one does not end a running process. */
    private static final double RUNNING_MAX_AGE_MS = 3_000;
    /** Long enough for a process that takes over to read the file. */
    private static final double ENDED_MAX_AGE_MS = 10_000;
    /** Longer than a slow start, so that the order is remembered while it affects the engine. */
    private static final double REVOKED_ORDER_TTL_MS = 60_000;
    /** Limit on the difference between the clocks of two processes. */
    private static final double MAX_CLOCK_SKEW_MS = 1_000;

    /** The order in effect for each engine; bounded by the engines that operators have named. */
    private final Map<String, MaintenanceOrder> orders = new TreeMap<>();

    private double quota = 1;

    /** Returns whether an operator has excluded the engine. */
    boolean isExcluded(String engine) {
        MaintenanceOrder order = orders.get(engine);
        return order != null && order.excluded();
    }

    /** Applies an order unless it is out of date; returns whether it changes its engine's exclusion. */
    boolean apply(MaintenanceOrder order) {
        MaintenanceOrder previous = orders.get(order.engine());
        if (previous != null && previous.sinceMs() >= order.sinceMs()) {
            return false;
        }
        orders.put(order.engine(), order);
        return previous == null || previous.excluded() != order.excluded();
    }

    /**
     * Returns whether an order of another process is credible: one from the future would override later
     * orders.
     */
    boolean isCredible(MaintenanceOrder order, double nowMs) {
        return order.sinceMs() < nowMs + MAX_CLOCK_SKEW_MS;
    }

    /** Returns the state to share with other processes, and removes orders revoked long ago. */
    PeerState snapshot(double nowMs) {
        double oldestMs = nowMs - REVOKED_ORDER_TTL_MS;
        orders.values().removeIf(order -> !order.excluded() && order.sinceMs() < oldestMs);
        return new PeerState(nowMs, List.copyOf(orders.values()));
    }

    /**
     * Returns the status of the process that wrote this state; a time in the future counts like the past.
     */
    PeerStatus statusOf(PeerState peer, double nowMs) {
        double ageMs = Math.abs(nowMs - peer.writtenAtMs());
        if (ageMs > ENDED_MAX_AGE_MS) {
            return PeerStatus.EXPIRED;
        }
        return ageMs < RUNNING_MAX_AGE_MS ? PeerStatus.RUNNING : PeerStatus.ENDED;
    }

    /** Sets the number of other running processes; returns whether this process's quota changes. */
    boolean setRunningPeers(int peers) {
        double previous = quota;
        quota = 1.0 / (1 + peers);
        return quota != previous;
    }

    /** Returns this process's quota of the front end's work, in (0, 1]. */
    double quota() {
        return quota;
    }
}
