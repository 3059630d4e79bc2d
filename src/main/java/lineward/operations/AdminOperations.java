package lineward.operations;

/** The operations of the admin endpoint. All methods are called on the event loop. */
public interface AdminOperations {
    /** Returns whether new clients should connect to this process. */
    boolean isReady();

    /**
     * Excludes an engine from new requests, or releases it.
     *
     * @param engine id of the engine
     * @param excluded true to exclude the engine, false to release it
     * @return false if no such engine is listed or under maintenance
     */
    boolean setMaintenance(String engine, boolean excluded);

    /** Returns the counters and gauges of this process in the Prometheus text format. */
    String metricsText();

    /** Starts a drain of this process, which keeps running. Has no effect if a drain is in effect. */
    void startDrain();

    /** Stops a drain; returns false if the process is terminating, which can't be stopped. */
    boolean stopDrain();
}
