package lineward.scheduling.decision;

/**
 * Decides which requests and clients a protocol server admits before the scheduler sees them. Requests that
 * pass are bounded once more by the coordinator's table; the scheduler then decides when each runs, or
 * rejects it.
 */
public final class ServerAdmissionPolicy {
    /** Which requests and clients a server accepts during its life. */
    public enum Phase {
        /** It serves all requests and welcomes new clients. */
        OPEN,
        /** It serves all requests, but asks clients to go elsewhere. */
        DRAINING,
        /** It rejects new requests and completes those admitted. */
        REJECTING
    }

    private final long maxStatementBytes;
    private Phase phase = Phase.OPEN;
    private long statementBytes;

    /** Creates an open policy that bounds the bytes of the statements of all admitted requests. */
    public ServerAdmissionPolicy(long maxStatementBytes) {
        this.maxStatementBytes = maxStatementBytes;
    }

    /** Returns the phase of the server. */
    public Phase phase() {
        return phase;
    }

    /** Sets the phase of the server. */
    public void enter(Phase next) {
        phase = next;
    }

    /** Returns whether clients that have a choice of front ends are welcome here. */
    public boolean welcomesClients() {
        return phase == Phase.OPEN;
    }

    /** Returns whether requests are admitted at all. */
    public boolean admitsRequests() {
        return phase != Phase.REJECTING;
    }

    /** Returns whether a request with a statement of that size is admitted; it must be rejected otherwise. */
    public boolean mayAdmit(long bytes) {
        return admitsRequests() && statementBytes + bytes <= maxStatementBytes;
    }

    /** Returns whether a server that has so many clients, the new one included, keeps the new one. */
    public static boolean mayConnect(int clients, int maxClients) {
        return clients <= maxClients;
    }

    /** Counts the statement of an admitted request. */
    public void recordAdmitted(long bytes) {
        statementBytes += bytes;
    }

    /** Releases the statement of an admitted request that is complete. */
    public void recordCompleted(long bytes) {
        statementBytes -= bytes;
    }
}
