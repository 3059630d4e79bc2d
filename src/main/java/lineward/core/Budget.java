package lineward.core;

/** A bound on bytes held in one place. */
public final class Budget {
    private final long most;
    private long held;

    /** @param most bytes held at once */
    public Budget(long most) {
        this.most = most;
    }

    /** @return whether that many bytes more may be held; if so they count until {@link #release} */
    public boolean reserve(long bytes) {
        if (held + bytes > most) {
            return false;
        }
        held += bytes;
        return true;
    }

    /** @return bytes held now */
    public long held() {
        return held;
    }

    /** Gives bytes back. */
    public void release(long bytes) {
        held -= bytes;
    }
}
