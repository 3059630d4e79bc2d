package lineward.scheduling.decision;

/** Decides which client connection is closed to make room for a new one when a server is at its capacity. */
public final class ClientEvictionPolicy {
    /**
     * If more than the capacity divided by this value are silent, that is, have never sent a request, the
     * oldest silent one is evicted. A flood of silent connections thus cannot displace active clients.
     */
    private static final int SILENT_DIVISOR = 4;
    /**
     * At most the capacity divided by this value may be closing gracefully at once, because such connections
     * still use file descriptors.
     */
    private static final int CLOSING_DIVISOR = 16;

    /** Which connection is closed and how; never one that awaits a response. */
    public enum Eviction {
        /** Closes the connection that has been open for longest without sending any request. */
        CLOSE_OLDEST_SILENT,
        /** Closes the connection that has been idle for longest, unless it sends a request first. */
        CLOSE_OLDEST_IDLE_GRACEFULLY,
        /** Closes the connection that has been idle for longest at once. */
        CLOSE_OLDEST_IDLE
    }

    private ClientEvictionPolicy() {}

    /** Returns which connection of a full server to close, given the number of connections in each state. */
    public static Eviction selectEviction(int capacity, int silent, int idle, int closing) {
        if (silent > capacity / SILENT_DIVISOR || idle == 0) {
            return Eviction.CLOSE_OLDEST_SILENT;
        }
        return closing < capacity / CLOSING_DIVISOR
                ? Eviction.CLOSE_OLDEST_IDLE_GRACEFULLY
                : Eviction.CLOSE_OLDEST_IDLE;
    }
}
