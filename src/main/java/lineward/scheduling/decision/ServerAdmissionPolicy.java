package lineward.scheduling.decision;

/**
 * Decides which requests and clients a protocol server admits. After this check, the coordinator's request
 * table limits the number of requests, and the scheduler decides when each of them runs, or rejects it.
 */
public final class ServerAdmissionPolicy {
    /** The phases of a server, which differ in the requests and clients that it accepts. */
    public enum Phase {
        /** Admits requests and accepts new clients. */
        OPEN,
        /** Admits requests, but asks clients to use other front ends. */
        DRAINING,
        /** Rejects new requests and completes those already admitted. */
        REJECTING
    }

    private final long maxStatementBytes;
    private Phase phase = Phase.OPEN;
    private long statementBytes;

    /**
     * Creates a policy in phase OPEN that limits the total size of the statements of all admitted requests.
     */
    public ServerAdmissionPolicy(long maxStatementBytes) {
        this.maxStatementBytes = maxStatementBytes;
    }

    /** Returns the current phase; OPEN unless {@link #setPhase} has changed it. */
    public Phase phase() {
        return phase;
    }

    /** Changes the phase. Any phase may follow any other; an ended drain, for example, returns to OPEN. */
    public void setPhase(Phase next) {
        phase = next;
    }

    /** Returns whether clients that can choose among front ends should use this one. */
    public boolean isRecommendedToClients() {
        return phase == Phase.OPEN;
    }

    /** Returns whether the phase permits admitting requests. */
    public boolean admitsRequests() {
        return phase != Phase.REJECTING;
    }

    /** Returns whether a request with a statement of this size is admitted; otherwise it must be rejected. */
    public boolean mayAdmit(long bytes) {
        return admitsRequests() && statementBytes + bytes <= maxStatementBytes;
    }

    /** Returns whether the server keeps a new client, given the number of clients including the new one. */
    public static boolean isWithinClientLimit(int clientCount, int maxClients) {
        return clientCount <= maxClients;
    }

    /** Adds the statement of an admitted request to the total size. */
    public void recordAdmitted(long bytes) {
        statementBytes += bytes;
    }

    /** Removes the statement of a completed request from the total size. */
    public void recordCompleted(long bytes) {
        statementBytes -= bytes;
    }
}
