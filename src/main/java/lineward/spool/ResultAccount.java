package lineward.spool;

/** What the policy knows of one result. Bytes are changed by {@link SpoolLedger} alone, which sums them. */
final class ResultAccount {
    final String user;
    /** Whether it has a key, by which its client may come back for it. */
    final boolean keyed;

    boolean complete;
    int readers;
    long memoryBytes;
    long fileBytes;
    boolean hasFile;
    /** When a reader last took something, or came or left, or the result was completed. */
    double lastUsedMs;

    /** Since when the engine has waited without a block being read; NaN: it does not wait. */
    private double backpressureSinceMs = Double.NaN;

    ResultAccount(String user, boolean keyed, double nowMs) {
        this.user = user;
        this.keyed = keyed;
        this.lastUsedMs = nowMs;
    }

    long bytes() {
        return memoryBytes + fileBytes;
    }

    /** Returns whether it may be given up for others: complete, and nobody reads it. */
    boolean isReclaimable() {
        return keyed && complete && readers == 0;
    }

    boolean hasBackpressure() {
        return !Double.isNaN(backpressureSinceMs);
    }

    /** Begins backpressure, or begins its time anew. */
    void startBackpressure(double nowMs) {
        backpressureSinceMs = nowMs;
    }

    void endBackpressure() {
        backpressureSinceMs = Double.NaN;
    }

    /** Returns for how long the engine has waited without a block being read; NaN: it does not wait. */
    double backpressureMs(double nowMs) {
        return nowMs - backpressureSinceMs;
    }
}
