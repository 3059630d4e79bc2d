package lineward.core;

/** A bound on the bytes held for one purpose. Used on the event loop only. */
public final class ByteBudget {
    private final long capacity;
    private long used;

    /** @param capacity maximum of bytes reserved at once */
    public ByteBudget(long capacity) {
        this.capacity = capacity;
    }

    /** Reserves that many bytes until {@link #release}; returns false if the budget does not allow it. */
    public boolean reserve(long bytes) {
        if (used + bytes > capacity) {
            return false;
        }
        used += bytes;
        return true;
    }

    /** Returns the bytes that are reserved. */
    public long used() {
        return used;
    }

    /** Releases bytes that were reserved. */
    public void release(long bytes) {
        used -= bytes;
    }
}
