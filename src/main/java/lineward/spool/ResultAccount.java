package lineward.spool;

import java.util.OptionalDouble;

/**
 * The usage data of one result: its owner, bytes, readers and lease. Times are milliseconds of the spool's
 * clock. Only {@link SpoolUsage} may change the byte counts and add the file, as it keeps the totals.
 */
final class ResultAccount {
    private final String user;
    private final boolean keyed;
    private boolean complete;
    private int readerCount;
    private long memoryBytes;
    private long fileBytes;
    private boolean hasFile;
    private double lastUsedMs;
    /** When backpressure started, or the latest read since then; empty without backpressure. */
    private OptionalDouble backpressureSinceMs = OptionalDouble.empty();

    ResultAccount(String user, boolean keyed, double nowMs) {
        this.user = user;
        this.keyed = keyed;
        this.lastUsedMs = nowMs;
    }

    /** Marks the result as complete, which ends backpressure and renews the lease. */
    void complete(double nowMs) {
        complete = true;
        endBackpressure();
        lastUsedMs = nowMs;
    }

    /** Adds a reader, which renews the lease. */
    void readerOpened(double nowMs) {
        readerCount++;
        lastUsedMs = nowMs;
    }

    /** Removes a reader, whether or not it has read the whole result; renews the lease. */
    void readerClosed(double nowMs) {
        readerCount--;
        lastUsedMs = nowMs;
    }

    /** Records the read of a block, which renews the lease and restarts the stall timeout. */
    void blockRead(double nowMs) {
        lastUsedMs = nowMs;
        if (hasBackpressure()) {
            startBackpressure(nowMs);
        }
    }

    /** Starts backpressure: the engine has to wait for the readers. */
    void startBackpressure(double nowMs) {
        backpressureSinceMs = OptionalDouble.of(nowMs);
    }

    void endBackpressure() {
        backpressureSinceMs = OptionalDouble.empty();
    }

    /** Adds bytes stored in memory; a negative number subtracts. */
    void addMemoryBytes(long bytes) {
        memoryBytes += bytes;
    }

    /** Adds bytes stored on disk; a negative number subtracts. */
    void addFileBytes(long bytes) {
        fileBytes += bytes;
    }

    /** Records that the result has a file. */
    void addFile() {
        hasFile = true;
    }

    String user() {
        return user;
    }

    /** Returns whether the result has a key under which its client may read it again. */
    boolean isKeyed() {
        return keyed;
    }

    int readerCount() {
        return readerCount;
    }

    long memoryBytes() {
        return memoryBytes;
    }

    long fileBytes() {
        return fileBytes;
    }

    long bytes() {
        return memoryBytes + fileBytes;
    }

    boolean hasFile() {
        return hasFile;
    }

    /** Returns when the result was last used: begun, opened, read or closed by a reader, or completed. */
    double lastUsedMs() {
        return lastUsedMs;
    }

    /** Returns whether the lease applies; the attempt's timeout limits an unread incomplete result. */
    boolean hasLease() {
        return complete || readerCount > 0;
    }

    /** Returns whether the result is retained after its last reader has been closed. */
    boolean isRetained() {
        return keyed && complete;
    }

    /** Returns whether the result may be released to make space for other results. */
    boolean isReclaimable() {
        return isRetained() && readerCount == 0;
    }

    /** Returns whether the engine has to wait for the readers. */
    boolean hasBackpressure() {
        return backpressureSinceMs.isPresent();
    }

    /** Returns whether the engine has waited for longer than a duration without a block being read. */
    boolean isStalledFor(double durationMs, double nowMs) {
        return hasBackpressure() && nowMs - backpressureSinceMs.getAsDouble() > durationMs;
    }
}
