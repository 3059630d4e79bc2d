package lineward.scheduling;

/** The meaning of a value in an engine's load report. */
public enum LoadReportField {
    /** Requests in progress. */
    IN_FLIGHT(1),
    /** Requests queued. */
    QUEUED(1),
    /** Fraction of the cores in use. */
    UTILISATION(100),
    /** Recent latency of requests, in milliseconds. */
    LATENCY(1),
    /** Requests per second. */
    THROUGHPUT(1),
    /** Errors per second. */
    ERRORS(1),
    /** Fraction of the memory in use. */
    MEMORY(100),
    /** Fraction of the disks in use. */
    DISKS(100),
    /** A field that this version does not know. */
    OTHER(1);

    private final double gossipScale;

    LoadReportField(double gossipScale) {
        this.gossipScale = gossipScale;
    }

    /**
     * Returns the factor by which a value is multiplied before gossip rounds it to an integer: fractions are
     * sent as percentages.
     */
    public double gossipScale() {
        return gossipScale;
    }
}
