package lineward.spool;

/**
 * The bounds of a spool.
 *
 * @param memoryBytes in memory for all results together, at least 1 MB
 * @param fileBytes on files for all results together, as stored; 0: no files
 * @param files results on files at once, one file each
 * @param results results at once
 * @param userBytes of one user, in memory and on files
 * @param resultBytes of one result; past it the engine is slowed to the reader's speed
 * @param responseBufferBytes a result that is no longer is complete before its first row goes out, so that a
 *     failed attempt leaves no trace
 * @param responseDelayRatio part of an attempt's timeout, 0 to 1, after which the first row goes out all the
 *     same
 * @param leaseMs a result whose reader has taken nothing for so long is released
 * @param keyLeaseMs a result with a key that no reader has touched for so long is released
 */
public record SpoolLimits(
        long memoryBytes,
        long fileBytes,
        int files,
        int results,
        long userBytes,
        long resultBytes,
        long responseBufferBytes,
        double responseDelayRatio,
        double leaseMs,
        double keyLeaseMs) {
    private static final long MIN_MEMORY_BYTES = 1 << 20;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException with one plain line if they contradict each other
     */
    public SpoolLimits {
        require(memoryBytes >= MIN_MEMORY_BYTES, "memory is below 1 MB");
        require(fileBytes >= 0 && files >= 0, "files and their bytes can't be negative");
        boolean capacitiesPositive = results > 0 && userBytes > 0 && resultBytes > 0;
        require(capacitiesPositive, "results and their bytes must be positive");
        boolean bufferInRange = responseBufferBytes >= 0 && isRatio(responseDelayRatio);
        require(bufferInRange, "what is held must lie in its range");
        require(leaseMs > 0 && keyLeaseMs > 0, "leases must be positive");
    }

    private static boolean isRatio(double value) {
        return value >= 0 && value <= 1;
    }

    private static void require(boolean condition, String otherwise) {
        if (!condition) {
            throw new IllegalArgumentException("spool: " + otherwise);
        }
    }

    /** Returns these bounds without files, for a folder that can't be used. */
    public SpoolLimits withoutFiles() {
        return new SpoolLimits(
                memoryBytes,
                0,
                0,
                results,
                userBytes,
                resultBytes,
                responseBufferBytes,
                responseDelayRatio,
                leaseMs,
                keyLeaseMs);
    }
}
