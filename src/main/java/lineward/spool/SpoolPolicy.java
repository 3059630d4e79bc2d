package lineward.spool;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Decides for the spool: who is admitted, where blocks go, when an engine waits, which results expire and
 * which are given up for others. Without I/O; times are milliseconds of one monotonic clock. Events of
 * results that have been released are ignored where they may still arrive.
 */
public final class SpoolPolicy {
    /** Where a block is stored. */
    public enum Placement {
        /** In memory. */
        MEMORY,
        /** In the result's file. */
        FILE,
        /** In memory past the bounds: the engine is not read until the reader has caught up. */
        MEMORY_WITH_BACKPRESSURE
    }

    /** Whether a statement whose result may be spooled is admitted. */
    public sealed interface Admission {}

    /** It is admitted. */
    public record Admitted() implements Admission {}

    /**
     * It is rejected before it runs.
     *
     * @param retryAfterMs when there should be capacity again, in milliseconds from now
     */
    public record Rejected(long retryAfterMs) implements Admission {}

    /**
     * The gauges and counters of a spool.
     *
     * @param memoryBytes in memory now
     * @param fileBytes on files now, as stored
     * @param results now
     * @param readers now
     * @param released results released so far
     * @param expired results that expired so far
     * @param rejected statements rejected so far
     * @param backpressured times so far that an engine had to wait for a reader
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

    /** Returns the result to be given up before one of this user begins; empty: none has to be, or can be. */
    public OptionalLong selectForReclaim(String user) {
        return admission.selectForReclaim(user);
    }

    /** Returns the number of a new result. */
    public long begin(String user, boolean keyed, double nowMs) {
        return ledger.open(user, keyed, nowMs);
    }

    /** Accounts for a complete result that was found on file at the start, and returns its number. */
    public long restore(String user, long fileBytes, double nowMs) {
        long id = ledger.open(user, true, nowMs);
        ResultAccount account = ledger.account(id);
        account.complete = true;
        ledger.addFile(account);
        ledger.addToFile(account, fileBytes);
        return id;
    }

    /**
     * Decides where a block of a result goes and accounts for it there; a block on file counts with its raw
     * length until {@link #blockStored} tells its stored one.
     */
    public Placement allocate(long id, long bytes, double nowMs) {
        return placement.allocate(ledger.account(id), bytes, nowMs);
    }

    /** Corrects what is accounted for a block once it is on file. */
    public void blockStored(long id, long allocatedBytes, long storedBytes) {
        ResultAccount account = ledger.account(id);
        if (account != null) {
            ledger.addToFile(account, storedBytes - allocatedBytes);
        }
    }

    /** Moves a block whose write failed back to memory, and keeps off the files for a while. */
    public void writeFailed(long id, long allocatedBytes, double nowMs) {
        fileBackoff.writeFailed(nowMs);
        ResultAccount account = ledger.account(id);
        if (account != null) {
            ledger.addToFile(account, -allocatedBytes);
            ledger.addToMemory(account, allocatedBytes);
        }
    }

    /** Returns whether the engine may be read: what is stored of this result leaves capacity for more. */
    public boolean mayReadEngine(long id) {
        ResultAccount account = ledger.account(id);
        return account != null && placement.mayReadEngine(account);
    }

    /**
     * Returns whether the first row goes out now, though the result is not complete.
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
        ResultAccount account = ledger.account(id);
        account.complete = true;
        account.endBackpressure();
        account.lastUsedMs = nowMs;
    }

    /** A reader has come. */
    public void readerOpened(long id, double nowMs) {
        ResultAccount account = ledger.account(id);
        account.readers++;
        account.lastUsedMs = nowMs;
    }

    /** A reader has taken a block: its lease begins anew. */
    public void blockRead(long id, double nowMs) {
        ResultAccount account = ledger.account(id);
        if (account == null) {
            return;
        }
        account.lastUsedMs = nowMs;
        if (account.hasBackpressure()) {
            account.startBackpressure(nowMs);
        }
    }

    /** A reader has left; returns whether nobody is owed anything any more, so that the result can go. */
    public boolean readerClosed(long id, double nowMs) {
        ResultAccount account = ledger.account(id);
        if (account == null) {
            return false;
        }
        account.readers--;
        account.lastUsedMs = nowMs;
        boolean isRetained = account.keyed && account.complete;
        return account.readers <= 0 && !isRetained;
    }

    /** A block that was in memory has been read and is not needed again. */
    public void memoryReleased(long id, long bytes, double nowMs) {
        ResultAccount account = ledger.account(id);
        if (account != null) {
            ledger.addToMemory(account, -bytes);
            releaseRate.add(bytes, nowMs);
        }
    }

    /** The result is gone, with all that was stored of it. */
    public void release(long id, double nowMs) {
        ResultAccount account = ledger.account(id);
        if (account != null) {
            released++;
            releaseRate.add(account.bytes(), nowMs);
            ledger.close(id);
        }
    }

    /** Returns results whose lease has expired, or that are stalled: they are to be ended and released. */
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

    /** Returns the gauges and counters as they stand. */
    public Statistics statistics() {
        return new Statistics(
                ledger.memoryBytes(),
                ledger.fileBytes(),
                ledger.results(),
                ledger.accounts().stream().mapToInt(account -> account.readers).sum(),
                released,
                expired,
                admission.rejected(),
                placement.backpressured());
    }
}
