package lineward.core;

import java.util.Optional;

/** Limits the number of bytes that may be reserved at the same time. Not thread-safe. */
public final class ByteBudget {
    private final long capacity;
    /** The budget of which this one is a part; empty if it is none. */
    private final Optional<ByteBudget> parent;

    private long used;

    /** @param capacity maximum number of bytes reserved at the same time */
    public ByteBudget(long capacity) {
        this(capacity, Optional.empty());
    }

    private ByteBudget(long capacity, Optional<ByteBudget> parent) {
        this.capacity = capacity;
        this.parent = parent;
    }

    /** Returns a budget without a limit. */
    public static ByteBudget unlimited() {
        return new ByteBudget(Long.MAX_VALUE);
    }

    /** Returns a budget with a limit of its own whose bytes are also reserved from this one. */
    public ByteBudget part(long partCapacity) {
        return new ByteBudget(partCapacity, Optional.of(this));
    }

    /** Reserves the bytes; returns false, and reserves none, if that would exceed a capacity. */
    public boolean reserve(long bytes) {
        if (used + bytes > capacity || !reserveFromParent(bytes)) {
            return false;
        }
        used += bytes;
        return true;
    }

    private boolean reserveFromParent(long bytes) {
        return parent.isEmpty() || parent.get().reserve(bytes);
    }

    /** Returns the number of bytes currently reserved. */
    public long used() {
        return used;
    }

    /** Releases bytes that were reserved with {@link #reserve}. */
    public void release(long bytes) {
        used -= bytes;
        parent.ifPresent(budget -> budget.release(bytes));
    }
}
