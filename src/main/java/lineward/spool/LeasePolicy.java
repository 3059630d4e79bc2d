package lineward.spool;

/** Decides when a result expires because nobody reads it. */
final class LeasePolicy {
    /** Maximum time for which backpressure may stop an engine without a block being read. */
    static final double MAX_STALL_MS = 20_000;

    private final SpoolLimits limits;

    LeasePolicy(SpoolLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns whether a result has been idle for longer than its lease, or backpressure has stopped its
     * engine for longer than {@link #MAX_STALL_MS}.
     */
    boolean isExpired(ResultAccount account, double nowMs) {
        boolean idle = nowMs - account.lastUsedMs() > leaseMs(account);
        return (account.hasLease() && idle) || account.isStalledFor(MAX_STALL_MS, nowMs);
    }

    private double leaseMs(ResultAccount account) {
        return account.isKeyed() && account.readerCount() == 0 ? limits.keyLeaseMs() : limits.leaseMs();
    }
}
