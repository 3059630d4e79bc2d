package lineward.core;

/** Limits the number of bytes that may be reserved at the same time. Not thread-safe. */
public final class ByteBudget {
    private final long capacity;
    private long used;

    /** @param capacity maximum number of bytes reserved at the same time */
    public ByteBudget(long capacity) {
        this.capacity = capacity;
    }

    /** Reserves the bytes; returns false, and reserves none, if that would exceed the capacity. */
    public boolean reserve(long bytes) {
        if (used + bytes > capacity) {
            return false;
        }
        used += bytes;
        return true;
    }

    /** Returns the number of bytes currently reserved. */
    public long used() {
        return used;
    }

    /** Releases bytes that were reserved with {@link #reserve}. */
    public void release(long bytes) {
        used -= bytes;
    }
}
