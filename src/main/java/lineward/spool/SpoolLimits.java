package lineward.spool;

/**
 * The bounds of a spool.
 *
 * @param memoryBytes in memory for all results together, at least 1 MB
 * @param fileBytes on files for all results together, compressed; 0 if there are no files
 * @param files results on file at the same time, one file each
 * @param results results at the same time
 * @param userBytes of one user, in memory and on files
 * @param resultBytes of one result; beyond it the engine is read only as fast as the reader reads
 * @param responseBufferBytes a result up to this size is complete before its first row is sent, so that its
 *     client sees nothing of a failed attempt
 * @param responseDelayRatio fraction of an attempt's timeout, 0 to 1, after which the first row is sent even
 *     if the result is not complete
 * @param leaseMs time after which a result is released whose reader does not read
 * @param keyLeaseMs time after which a result with a key and without readers is released
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
     * @throws IllegalArgumentException with a message of one line if they contradict each other
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

    /** Returns whether results may be stored on file. */
    boolean hasFiles() {
        return fileBytes > 0;
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
