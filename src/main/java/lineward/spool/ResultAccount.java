package lineward.spool;

import java.util.OptionalDouble;

/**
 * What the policy records of one result: its owner, its bytes, its readers and its lease. Times are
 * milliseconds of the spool's clock. {@link SpoolLedger} calls the methods that change bytes, as it sums
 * them.
 */
final class ResultAccount {
    private final String user;
    private final boolean keyed;
    private boolean complete;
    private int readers;
    private long memoryBytes;
    private long fileBytes;
    private boolean hasFile;
    private double lastUsedMs;
    /** Empty while the engine is read without backpressure. */
    private OptionalDouble backpressureSinceMs = OptionalDouble.empty();

    ResultAccount(String user, boolean keyed, double nowMs) {
        this.user = user;
        this.keyed = keyed;
        this.lastUsedMs = nowMs;
    }

    /** The engine has sent the last block. */
    void complete(double nowMs) {
        complete = true;
        endBackpressure();
        lastUsedMs = nowMs;
    }

    /** A reader starts to read. */
    void readerOpened(double nowMs) {
        readers++;
        lastUsedMs = nowMs;
    }

    /** A reader ends, wherever it is in the result. */
    void readerClosed(double nowMs) {
        readers--;
        lastUsedMs = nowMs;
    }

    /** A reader has read a block: the lease and the time of backpressure start anew. */
    void blockRead(double nowMs) {
        lastUsedMs = nowMs;
        if (hasBackpressure()) {
            startBackpressure(nowMs);
        }
    }

    /** The engine has to wait for the readers from now on. */
    void startBackpressure(double nowMs) {
        backpressureSinceMs = OptionalDouble.of(nowMs);
    }

    /** The engine does not have to wait any more. */
    void endBackpressure() {
        backpressureSinceMs = OptionalDouble.empty();
    }

    /** Bytes are stored in memory, or removed from it if the number is negative. */
    void addMemoryBytes(long bytes) {
        memoryBytes += bytes;
    }

    /** Bytes are stored on file, or removed from it if the number is negative. */
    void addFileBytes(long bytes) {
        fileBytes += bytes;
    }

    /** The result has a file from now on. */
    void addFile() {
        hasFile = true;
    }

    String user() {
        return user;
    }

    /** Returns whether it has a key, by which its client may read it again. */
    boolean isKeyed() {
        return keyed;
    }

    int readers() {
        return readers;
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

    /** Returns when a reader last opened, read or closed it, or when it became complete. */
    double lastUsedMs() {
        return lastUsedMs;
    }

    /** Returns whether its lease applies; the timeout of its attempt limits a result that grows unread. */
    boolean hasLease() {
        return complete || readers > 0;
    }

    /** Returns whether it is stored on after its last reader has closed it. */
    boolean isRetained() {
        return keyed && complete;
    }

    /** Returns whether it may be released to make space for other results. */
    boolean isReclaimable() {
        return isRetained() && readers == 0;
    }

    /** Returns whether the engine has to wait for the readers. */
    boolean hasBackpressure() {
        return backpressureSinceMs.isPresent();
    }

    /** Returns whether the engine has waited for longer than this without a block being read. */
    boolean isStalledFor(double durationMs, double nowMs) {
        return hasBackpressure() && nowMs - backpressureSinceMs.getAsDouble() > durationMs;
    }
}
