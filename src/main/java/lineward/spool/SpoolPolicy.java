package lineward.spool;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Makes the decisions of the spool: which statements are admitted, where blocks are stored, when an engine
 * has to wait, which results expire and which are released to make space. Does no I/O; times are
 * milliseconds of one monotonic clock. Events that may arrive after the release of their result are ignored.
 */
public final class SpoolPolicy {
    /** Where a block is stored. */
    public enum Placement {
        /** In memory. */
        MEMORY,
        /** In the result's file. */
        FILE,
        /** In memory beyond the limits: the engine is not read until the readers have freed capacity. */
        MEMORY_WITH_BACKPRESSURE
    }

    /** Whether a statement whose result may be spooled is admitted. */
    public sealed interface Admission {}

    /** The statement is admitted. */
    public record Admitted() implements Admission {}

    /**
     * The statement is rejected before it runs.
     *
     * @param retryAfterMs milliseconds after which there should be capacity
     */
    public record Rejected(long retryAfterMs) implements Admission {}

    /**
     * The gauges and counters of a spool.
     *
     * @param memoryBytes bytes in memory now
     * @param fileBytes bytes on disk now, compressed
     * @param results number of results now
     * @param readers number of readers now
     * @param released results released so far
     * @param expired results that expired so far
     * @param rejected statements rejected so far
     * @param backpressureCount number of times so far that an engine had to wait for readers
     */
    public record Statistics(
            long memoryBytes,
            long fileBytes,
            int results,
            int readers,
            long released,
            long expired,
            long rejected,
            long backpressureCount) {}

    private final SpoolLimits limits;
    private final SpoolUsage usage = new SpoolUsage();
    private final WriteBackoff writeBackoff = new WriteBackoff();
    private final ReleaseRate releaseRate = new ReleaseRate();
    private final BlockPlacement placement;
    private final SpoolAdmission admission;
    private final LeasePolicy leasePolicy;
    private long released;
    private long expired;

    /** Creates the policy of an empty spool. */
    public SpoolPolicy(SpoolLimits limits) {
        this.limits = limits;
        this.placement = new BlockPlacement(limits, usage, writeBackoff);
        this.admission = new SpoolAdmission(limits, usage, writeBackoff, releaseRate);
        this.leasePolicy = new LeasePolicy(limits);
    }

    /** Admits a user's statement, or rejects it before it runs. */
    public Admission admit(String user, double nowMs) {
        return admission.admit(user, nowMs);
    }

    /** Returns the id of the result to release before a new one begins; empty if there is none. */
    public OptionalLong selectForReclaim(String user) {
        return admission.selectForReclaim(user);
    }

    /** Opens the account of a new result, and returns its id. */
    public long begin(String user, boolean keyed, double nowMs) {
        return usage.openAccount(user, keyed, nowMs);
    }

    /** Opens the account of a complete result of an earlier process, and returns its id. */
    public long restore(String user, long fileBytes, double nowMs) {
        long id = usage.openAccount(user, true, nowMs);
        ResultAccount account = usage.account(id);
        account.complete(nowMs);
        usage.addFile(account);
        usage.addToFile(account, fileBytes);
        return id;
    }

    /**
     * Decides where a block is stored, and counts its bytes there. A block on disk counts with its raw length
     * until {@link #bytesStored} replaces that by its stored length.
     */
    public Placement allocate(long id, long bytes, double nowMs) {
        return placement.allocate(usage.account(id), bytes, nowMs);
    }

    /** Replaces the allocated bytes by the bytes stored on disk, once the write has succeeded. */
    public void bytesStored(long id, long allocatedBytes, long storedBytes) {
        ResultAccount account = usage.account(id);
        if (account != null) {
            usage.addToFile(account, storedBytes - allocatedBytes);
        }
    }

    /** Moves the bytes of a block whose write failed back to memory, and starts the backoff of writes. */
    public void writeFailed(long id, long allocatedBytes, double nowMs) {
        writeBackoff.writeFailed(nowMs);
        ResultAccount account = usage.account(id);
        if (account != null) {
            usage.addToFile(account, -allocatedBytes);
            usage.addToMemory(account, allocatedBytes);
        }
    }

    /** Returns whether the engine may be read to receive more of this result; false after its release. */
    public boolean mayReadEngine(long id) {
        ResultAccount account = usage.account(id);
        return account != null && placement.mayReadEngine(account);
    }

    /**
     * Returns whether to start sending the result now, although it is incomplete.
     *
     * @param bytes bytes of the result received so far
     * @param ageMs age of the attempt
     * @param timeoutMs timeout of the attempt
     */
    public boolean shouldStartResponse(long id, long bytes, double ageMs, double timeoutMs) {
        ResultAccount account = usage.account(id);
        boolean hasBackpressure = account != null && account.hasBackpressure();
        boolean isOld = ageMs > limits.responseDelayRatio() * timeoutMs;
        return hasBackpressure || isOld || bytes > limits.responseBufferBytes();
    }

    /** Marks a result as complete, which ends backpressure and renews the lease. */
    public void complete(long id, double nowMs) {
        usage.account(id).complete(nowMs);
    }

    /** Adds a reader to a result, which renews the lease. */
    public void readerOpened(long id, double nowMs) {
        usage.account(id).readerOpened(nowMs);
    }

    /** Records the read of a block, which renews the lease and restarts the stall timeout. */
    public void blockRead(long id, double nowMs) {
        ResultAccount account = usage.account(id);
        if (account != null) {
            account.blockRead(nowMs);
        }
    }

    /** Removes a reader; returns whether it was the last one and the result is not retained without one. */
    public boolean readerClosed(long id, double nowMs) {
        ResultAccount account = usage.account(id);
        if (account == null) {
            return false;
        }
        account.readerClosed(nowMs);
        return account.readerCount() == 0 && !account.isRetained();
    }

    /** Subtracts a block in memory that has been read and removed. */
    public void memoryReleased(long id, long bytes, double nowMs) {
        ResultAccount account = usage.account(id);
        if (account != null) {
            usage.addToMemory(account, -bytes);
            releaseRate.add(bytes, nowMs);
        }
    }

    /** Releases a result, with all its bytes and its file. */
    public void release(long id, double nowMs) {
        ResultAccount account = usage.account(id);
        if (account != null) {
            released++;
            releaseRate.add(account.bytes(), nowMs);
            usage.closeAccount(id);
        }
    }

    /** Counts the results that have expired and returns their ids; the caller ends and releases them. */
    public List<Long> selectExpired(double nowMs) {
        List<Long> expiredIds = new ArrayList<>();
        usage.accountsById().forEach((id, account) -> {
            if (leasePolicy.isExpired(account, nowMs)) {
                expiredIds.add(id);
            }
        });
        expired += expiredIds.size();
        return expiredIds;
    }

    /** Returns the current gauges and counters. */
    public Statistics statistics() {
        return new Statistics(
                usage.memoryBytes(),
                usage.fileBytes(),
                usage.resultCount(),
                usage.accounts().stream().mapToInt(ResultAccount::readerCount).sum(),
                released,
                expired,
                admission.rejected(),
                placement.backpressureCount());
    }
}
