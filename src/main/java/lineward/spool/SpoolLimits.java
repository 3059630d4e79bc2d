package lineward.spool;

/**
 * The limits of a spool.
 *
 * @param memoryBytes bytes in memory of all results together, at least 1 MB
 * @param fileBytes bytes on disk of all results together, compressed; 0 if no files are used
 * @param files number of results on disk at the same time, one file each
 * @param results number of results at the same time
 * @param userBytes bytes of one user's results, in memory and on disk
 * @param resultBytes bytes of one result; beyond it the engine is read only as fast as the client reads
 * @param responseBufferBytes a result up to this size is complete before its first row is sent, so that its
 *     client does not notice a failed attempt
 * @param responseDelayRatio fraction of an attempt's timeout, 0 to 1, after which the first row is sent even
 *     if the result is not complete
 * @param leaseMs idle time after which a result expires that has a reader, or no key
 * @param keyLeaseMs idle time after which a result with a key and without readers expires
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
     * Checks the limits.
     *
     * @throws IllegalArgumentException with a single-line message if a limit is out of range
     */
    public SpoolLimits {
        require(memoryBytes >= MIN_MEMORY_BYTES, "memory must be at least 1 MB");
        require(fileBytes >= 0 && files >= 0, "the number of files and their bytes must not be negative");
        boolean capacitiesPositive = results > 0 && userBytes > 0 && resultBytes > 0;
        require(capacitiesPositive, "number of results, bytes of a user and of a result must be positive");
        boolean bufferInRange = responseBufferBytes >= 0 && isRatio(responseDelayRatio);
        require(bufferInRange, "response buffer must not be negative, response delay must be from 0 to 1");
        require(leaseMs > 0 && keyLeaseMs > 0, "leases must be positive");
    }

    private static boolean isRatio(double value) {
        return value >= 0 && value <= 1;
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new IllegalArgumentException("spool: " + message);
        }
    }

    /** Returns whether results may be stored on disk. */
    boolean hasFiles() {
        return fileBytes > 0;
    }

    /** Returns these limits without files, for a spool that has no usable folder. */
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
