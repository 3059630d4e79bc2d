package lineward.spool;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Decides for the spool: which statements are admitted, where blocks are stored, when an engine waits, which
 * results expire and which are released to make space. Does no I/O; times are milliseconds of one monotonic
 * clock. Events that may arrive after the release of their result are ignored.
 */
public final class SpoolPolicy {
    /** Where a block is stored. */
    public enum Placement {
        /** In memory. */
        MEMORY,
        /** In the result's file. */
        FILE,
        /** In memory beyond the bounds: the engine is not read until the readers have freed capacity. */
        MEMORY_WITH_BACKPRESSURE
    }

    /** Whether a statement whose result may be spooled is admitted. */
    public sealed interface Admission {}

    /** It is admitted. */
    public record Admitted() implements Admission {}

    /**
     * It is rejected before it runs.
     *
     * @param retryAfterMs milliseconds after which there should be capacity
     */
    public record Rejected(long retryAfterMs) implements Admission {}

    /**
     * The gauges and counters of a spool.
     *
     * @param memoryBytes in memory now
     * @param fileBytes on files now, compressed
     * @param results now
     * @param readers now
     * @param released results released so far
     * @param expired results that expired so far
     * @param rejected statements rejected so far
     * @param backpressured times so far that an engine had to wait for the readers
     */
    public record Statistics(
            long memoryBytes,
            long fileBytes,
            int results,
            int readers,
            long released,
            long expired,
            long rejected,
            long backpressured) {}

    private final SpoolLimits limits;
    private final SpoolLedger ledger = new SpoolLedger();
    private final FileBackoff fileBackoff = new FileBackoff();
    private final ReleaseRate releaseRate = new ReleaseRate();
    private final BlockPlacement placement;
    private final SpoolAdmission admission;
    private final LeasePolicy leases;
    private long released;
    private long expired;

    /** Creates the policy of an empty spool. */
    public SpoolPolicy(SpoolLimits limits) {
        this.limits = limits;
        this.placement = new BlockPlacement(limits, ledger, fileBackoff);
        this.admission = new SpoolAdmission(limits, ledger, fileBackoff, releaseRate);
        this.leases = new LeasePolicy(limits);
    }

    /** Admits a user's statement, or rejects it before it runs. */
    public Admission admit(String user, double nowMs) {
        return admission.admit(user, nowMs);
    }

    /** Returns the result to release before one of this user begins; empty if none has to be, or can be. */
    public OptionalLong selectForReclaim(String user) {
        return admission.selectForReclaim(user);
    }

    /** Returns the number of a new result. */
    public long begin(String user, boolean keyed, double nowMs) {
        return ledger.open(user, keyed, nowMs);
    }

    /** Accounts for a complete result of an earlier process, and returns its number. */
    public long restore(String user, long fileBytes, double nowMs) {
        long id = ledger.open(user, true, nowMs);
        ResultAccount account = ledger.account(id);
        account.complete(nowMs);
        ledger.addFile(account);
        ledger.addToFile(account, fileBytes);
        return id;
    }

    /**
     * Decides where a block of a result is stored and accounts for it there; a block on file counts with its
     * raw length until {@link #blockStored} replaces that by its stored length.
     */
    public Placement allocate(long id, long bytes, double nowMs) {
        return placement.allocate(ledger.account(id), bytes, nowMs);
    }

    /** Replaces the bytes accounted for a block by its stored length, once it is on file. */
    public void blockStored(long id, long allocatedBytes, long storedBytes) {
        ResultAccount account = ledger.account(id);
        if (account != null) {
            ledger.addToFile(account, storedBytes - allocatedBytes);
        }
    }

    /** Moves a block whose write failed back to memory, and starts the backoff of files. */
    public void writeFailed(long id, long allocatedBytes, double nowMs) {
        fileBackoff.writeFailed(nowMs);
        ResultAccount account = ledger.account(id);
        if (account != null) {
            ledger.addToFile(account, -allocatedBytes);
            ledger.addToMemory(account, allocatedBytes);
        }
    }

    /** Returns whether the engine may be read: there is capacity to store more of this result. */
    public boolean mayReadEngine(long id) {
        ResultAccount account = ledger.account(id);
        return account != null && placement.mayReadEngine(account);
    }

    /**
     * Returns whether the first row is sent now, although the result is not complete.
     *
     * @param bytes received of the result so far
     * @param ageMs of the attempt
     * @param timeoutMs of the attempt
     */
    public boolean shouldStartResponse(long id, long bytes, double ageMs, double timeoutMs) {
        ResultAccount account = ledger.account(id);
        boolean hasBackpressure = account != null && account.hasBackpressure();
        boolean isOld = ageMs > limits.responseDelayRatio() * timeoutMs;
        return hasBackpressure || isOld || bytes > limits.responseBufferBytes();
    }

    /** The result is complete. */
    public void complete(long id, double nowMs) {
        ledger.account(id).complete(nowMs);
    }

    /** A reader starts to read. */
    public void readerOpened(long id, double nowMs) {
        ledger.account(id).readerOpened(nowMs);
    }

    /** A reader has read a block: the lease starts anew. */
    public void blockRead(long id, double nowMs) {
        ResultAccount account = ledger.account(id);
        if (account != null) {
            account.blockRead(nowMs);
        }
    }

    /** A reader ends; returns whether it was the last one and the result does not have to be retained. */
    public boolean readerClosed(long id, double nowMs) {
        ResultAccount account = ledger.account(id);
        if (account == null) {
            return false;
        }
        account.readerClosed(nowMs);
        return account.readers() == 0 && !account.isRetained();
    }

    /** A block in memory has been read and is removed. */
    public void memoryReleased(long id, long bytes, double nowMs) {
        ResultAccount account = ledger.account(id);
        if (account != null) {
            ledger.addToMemory(account, -bytes);
            releaseRate.add(bytes, nowMs);
        }
    }

    /** The result is released, with all that was stored of it. */
    public void release(long id, double nowMs) {
        ResultAccount account = ledger.account(id);
        if (account != null) {
            released++;
            releaseRate.add(account.bytes(), nowMs);
            ledger.close(id);
        }
    }

    /** Returns the results that have expired; the caller ends and releases them. */
    public List<Long> expire(double nowMs) {
        List<Long> due = new ArrayList<>();
        ledger.accountsById().forEach((id, account) -> {
            if (leases.isExpired(account, nowMs)) {
                due.add(id);
            }
        });
        expired += due.size();
        return due;
    }

    /** Returns the current gauges and counters. */
    public Statistics statistics() {
        return new Statistics(
                ledger.memoryBytes(),
                ledger.fileBytes(),
                ledger.results(),
                ledger.accounts().stream().mapToInt(ResultAccount::readers).sum(),
                released,
                expired,
                admission.rejected(),
                placement.backpressured());
    }
}
