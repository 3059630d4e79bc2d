package lineward.scheduling.decision;

/** Decides which client connection is closed for a new one when a server is at its capacity. */
public final class ClientEvictionPolicy {
    /** Fraction of the capacity beyond which silent connections evict their own kind, against a flood. */
    private static final int SILENT_DIVISOR = 4;
    /** Fraction of the capacity that may be closing at once, as these still use descriptors. */
    private static final int CLOSING_DIVISOR = 16;

    /** The connection that is closed. One that awaits a response never is. */
    public enum Eviction {
        /** The connection that has been silent for longest is closed. */
        CLOSE_OLDEST_SILENT,
        /** The connection that has been idle for longest is closed, unless it sends a request first. */
        CLOSE_OLDEST_IDLE_GRACEFULLY,
        /** The connection that has been idle for longest is closed. */
        CLOSE_OLDEST_IDLE
    }

    private ClientEvictionPolicy() {}

    /** Returns which connection of a full server is closed, by the number of connections in each state. */
    public static Eviction evict(int capacity, int silent, int idle, int closing) {
        if (silent > capacity / SILENT_DIVISOR || idle == 0) {
            return Eviction.CLOSE_OLDEST_SILENT;
        }
        return closing < capacity / CLOSING_DIVISOR
                ? Eviction.CLOSE_OLDEST_IDLE_GRACEFULLY
                : Eviction.CLOSE_OLDEST_IDLE;
    }
}
