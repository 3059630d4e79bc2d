package lineward.lifecycle;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which maintenance orders are in effect and what part of the front end's quota falls to this
 * process. Of two orders on one engine the later is in effect. Does no I/O; time is passed in, in Unix
 * milliseconds.
 */
final class HotRestartPolicy {
    /** What the age of another process's file says of that process. */
    enum PeerStatus {
        /** It runs and shares the work. */
        RUNNING,
        /** It has ended; its orders are still in effect. */
        ENDED,
        /** It ended long ago; its file is to be deleted. */
        EXPIRED
    }

    /** Several times the interval at which a process that runs rewrites its file. */
    private static final double RUNNING_MAX_AGE_MS = 3_000;
    /** Long enough for a process that takes over to read what the one before it has left. */
    private static final double ENDED_MAX_AGE_MS = 10_000;
    /** An engine that is used again has completed its slow start long before. */
    private static final double REVOKED_ORDER_TTL_MS = 60_000;
    /** The clocks of two processes differ by this much at most. */
    private static final double MAX_CLOCK_SKEW_MS = 1_000;

    /** The order in effect for each engine; bounded by the engines that operators have named. */
    private final Map<String, MaintenanceOrder> orders = new TreeMap<>();

    private double quota = 1;

    /** Returns whether that engine gets no requests by an operator's order. */
    boolean isExcluded(String engine) {
        MaintenanceOrder order = orders.get(engine);
        return order != null && order.excluded();
    }

    /** Takes an order in, unless a later one is known; returns whether it changes anything for its engine. */
    boolean apply(MaintenanceOrder order) {
        MaintenanceOrder previous = orders.get(order.engine());
        if (previous != null && previous.sinceMs() >= order.sinceMs()) {
            return false;
        }
        orders.put(order.engine(), order);
        return previous == null || previous.excluded() != order.excluded();
    }

    /**
     * Returns whether an order of another process is credible: one from the future would override later ones.
     */
    boolean isCredible(MaintenanceOrder order, double nowMs) {
        return order.sinceMs() < nowMs + MAX_CLOCK_SKEW_MS;
    }

    /** Returns the state to share with other processes, and forgets orders revoked long ago. */
    PeerState snapshot(double nowMs) {
        double oldestMs = nowMs - REVOKED_ORDER_TTL_MS;
        orders.values().removeIf(order -> !order.excluded() && order.sinceMs() < oldestMs);
        return new PeerState(nowMs, List.copyOf(orders.values()));
    }

    /**
     * Returns what becomes of a process whose state was written then; one from the future counts as old, too.
     */
    PeerStatus statusOf(PeerState peer, double nowMs) {
        double ageMs = Math.abs(nowMs - peer.writtenAtMs());
        if (ageMs > ENDED_MAX_AGE_MS) {
            return PeerStatus.EXPIRED;
        }
        return ageMs < RUNNING_MAX_AGE_MS ? PeerStatus.RUNNING : PeerStatus.ENDED;
    }

    /** Takes in how many other processes run; returns whether this process's quota changes by that. */
    boolean setRunningPeers(int peers) {
        double previous = quota;
        quota = 1.0 / (1 + peers);
        return quota != previous;
    }

    /** Returns the part of this front end's work that falls to this process, in (0, 1]. */
    double quota() {
        return quota;
    }
}
