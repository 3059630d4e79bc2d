package lineward.core;

/** A bound on bytes held in one place. */
public final class ByteBudget {
    private final long capacity;
    private long used;

    /** @param most bytes held at once */
    public ByteBudget(long most) {
        this.capacity = most;
    }

    /** Returns whether that many bytes more may be held; if so they count until {@link #release}. */
    public boolean reserve(long bytes) {
        if (used + bytes > capacity) {
            return false;
        }
        used += bytes;
        return true;
    }

    /** Returns bytes held now. */
    public long used() {
        return used;
    }

    /** Gives bytes back. */
    public void release(long bytes) {
        used -= bytes;
    }
}
