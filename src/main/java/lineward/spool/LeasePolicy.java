package lineward.spool;

/** Decides when a result has been left unread for too long. */
final class LeasePolicy {
    /** A result whose engine has had to wait for so long without a block being read is ended. */
    static final double MAX_STALL_MS = 20_000;

    private final SpoolLimits limits;

    LeasePolicy(SpoolLimits limits) {
        this.limits = limits;
    }

    /** Returns whether a result is to be ended. One that grows unread has its attempt's own timeout. */
    boolean isExpired(ResultAccount account, double nowMs) {
        boolean hasLease = account.complete || account.readers > 0;
        boolean idle = nowMs - account.lastUsedMs > leaseMs(account);
        return (hasLease && idle) || isStalled(account, nowMs);
    }

    private double leaseMs(ResultAccount account) {
        return account.keyed && account.readers == 0 ? limits.keyLeaseMs() : limits.leaseMs();
    }

    private static boolean isStalled(ResultAccount account, double nowMs) {
        return account.hasBackpressure() && account.backpressureMs(nowMs) > MAX_STALL_MS;
    }
}
