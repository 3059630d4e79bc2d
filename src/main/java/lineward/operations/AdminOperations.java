package lineward.operations;

/** The operations of the admin endpoint. All methods are called on the event loop. */
public interface AdminOperations {
    /** Returns whether this process accepts new clients. */
    boolean isReady();

    /**
     * Excludes an engine from new requests, or releases it.
     *
     * @param engine the engine's id
     * @param excluded true to exclude the engine, false to release it
     * @return false if no such engine is listed
     */
    boolean setMaintenance(String engine, boolean excluded);

    /** Returns the counters and gauges of this process in the Prometheus text format. */
    String metrics();

    /** Starts to drain this process, which keeps running. Has no effect if a drain is already in effect. */
    void startDrain();

    /** Stops a drain; returns false if the process is terminating, because a shutdown can't be stopped. */
    boolean stopDrain();
}
