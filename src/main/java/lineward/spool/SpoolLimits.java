package lineward.spool;

/**
 * The bounds of a spool.
 *
 * @param memoryBytes held in memory for all results together
 * @param fileBytes held on files for all results together, as stored; 0: no files
 * @param files results on files at once, one file each
 * @param results results held at once
 * @param userBytes held for one user, in memory and on files
 * @param resultBytes held of one result; past it the engine is slowed to the reader's speed
 * @param holdBytes a result that is no longer is whole before its first row goes out, so that a broken
 * attempt
 *     leaves no trace
 * @param holdPart part of an attempt's time after which the first row goes out all the same, 0 to 1
 * @param leaseMs a result whose reader has taken nothing for so long is given back
 * @param keyLeaseMs a result with a key, which no reader has touched for so long, is given back
 */
public record SpoolLimits(
        long memoryBytes,
        long fileBytes,
        int files,
        int results,
        long userBytes,
        long resultBytes,
        long holdBytes,
        double holdPart,
        double leaseMs,
        double keyLeaseMs) {
    private static final long MB = 1 << 20;

    /** @throws IllegalArgumentException with one plain line if the bounds contradict each other */
    public SpoolLimits {
        require(memoryBytes >= MB, "memory is below 1 MB");
        require(fileBytes >= 0 && files >= 0, "files and their bytes can't be negative");
        require(results > 0 && userBytes > 0 && resultBytes > 0, "results and their bytes must be positive");
        require(holdBytes >= 0 && holdPart >= 0 && holdPart <= 1, "what is held must lie in its range");
        require(leaseMs > 0 && keyLeaseMs > 0, "leases must be positive");
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException("spool: " + otherwise);
        }
    }

    /** Returns these bounds without files, for a folder that can't be used. */
    public SpoolLimits withoutFiles() {
        return new SpoolLimits(
                memoryBytes, 0, 0, results, userBytes, resultBytes, holdBytes, holdPart, leaseMs, keyLeaseMs);
    }
}
