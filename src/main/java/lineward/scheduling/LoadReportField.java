package lineward.scheduling;

/** The meaning of a value in an engine's load report. */
public enum LoadReportField {
    /** Requests in progress. */
    IN_FLIGHT(1),
    /** Requests queued. */
    QUEUED(1),
    /** Ratio of the cores in use. */
    UTILISATION(100),
    /** Recent time a request, in milliseconds. */
    LATENCY(1),
    /** Requests a second. */
    THROUGHPUT(1),
    /** Errors a second. */
    ERRORS(1),
    /** Ratio of the memory in use. */
    MEMORY(100),
    /** Ratio of the disks in use. */
    DISKS(100),
    /** A field without a meaning to this version. */
    OTHER(1);

    private final double gossipScale;

    LoadReportField(double gossipScale) {
        this.gossipScale = gossipScale;
    }

    /** Returns the factor by which gossip encodes it: ratios as hundredths, counts as they are. */
    public double gossipScale() {
        return gossipScale;
    }
}
