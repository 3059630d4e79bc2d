package lineward.spool;

import lineward.spool.SpoolPolicy.Placement;

/** Decides where blocks are stored, and when backpressure stops the reads from an engine. */
final class BlockPlacement {
    /** Maximum fraction of the memory that one result may use; its other blocks are written to disk. */
    private static final double RESULT_MEMORY_RATIO = 0.25;
    /** Reads resume once memory, the result and the user are each at or below their limit divided by this. */
    private static final int RESUME_DIVISOR = 2;

    private final SpoolLimits limits;
    private final SpoolUsage usage;
    private final WriteBackoff writeBackoff;
    private long backpressureCount;

    BlockPlacement(SpoolLimits limits, SpoolUsage usage, WriteBackoff writeBackoff) {
        this.limits = limits;
        this.usage = usage;
        this.writeBackoff = writeBackoff;
    }

    /** Decides where a block is stored, and counts its bytes there. */
    Placement allocate(ResultAccount account, long bytes, double nowMs) {
        boolean withinQuota = isWithinQuota(account, bytes);
        boolean fitsMemory = withinQuota && fitsMemory(account, bytes);
        boolean fitsFile = withinQuota && fitsFile(account, bytes, nowMs);
        // A result with a key is stored on disk so that it survives a restart.
        if (fitsFile && (account.isKeyed() || !fitsMemory)) {
            usage.addFile(account);
            usage.addToFile(account, bytes);
            account.endBackpressure();
            return Placement.FILE;
        }
        usage.addToMemory(account, bytes);
        if (fitsMemory) {
            account.endBackpressure();
            return Placement.MEMORY;
        }
        if (!account.hasBackpressure()) {
            backpressureCount++;
            account.startBackpressure(nowMs);
        }
        return Placement.MEMORY_WITH_BACKPRESSURE;
    }

    private boolean isWithinQuota(ResultAccount account, long bytes) {
        return account.bytes() + bytes <= limits.resultBytes()
                && usage.bytesOf(account.user()) + bytes <= limits.userBytes();
    }

    private boolean fitsMemory(ResultAccount account, long bytes) {
        // Without files, one result may use all memory, as its blocks can't be stored elsewhere.
        double resultMemoryBytes = RESULT_MEMORY_RATIO * limits.memoryBytes();
        boolean withinRatio = !limits.hasFiles() || account.memoryBytes() + bytes <= resultMemoryBytes;
        return withinRatio && usage.memoryBytes() + bytes <= limits.memoryBytes();
    }

    private boolean fitsFile(ResultAccount account, long bytes, double nowMs) {
        boolean mayHaveFile = account.hasFile() || usage.fileCount() < limits.files();
        boolean hasSpace = usage.fileBytes() + bytes <= limits.fileBytes();
        return mayHaveFile && hasSpace && writeBackoff.hasElapsed(nowMs);
    }

    /**
     * Returns whether the engine may be read. A result without blocks in memory may always continue, as its
     * readers can't free capacity: bytes on disk are counted until the result is released.
     */
    boolean mayReadEngine(ResultAccount account) {
        return !account.hasBackpressure() || account.memoryBytes() == 0 || hasCapacityToResume(account);
    }

    private boolean hasCapacityToResume(ResultAccount account) {
        return usage.memoryBytes() <= limits.memoryBytes() / RESUME_DIVISOR
                && account.bytes() <= limits.resultBytes() / RESUME_DIVISOR
                && usage.bytesOf(account.user()) <= limits.userBytes() / RESUME_DIVISOR;
    }

    /** Returns how many times backpressure has started, over all results. */
    long backpressureCount() {
        return backpressureCount;
    }
}
