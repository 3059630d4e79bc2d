package lineward.operations;

/** The operations of the admin endpoint. All methods are called on the event loop. */
public interface AdminOperations {
    /** Returns whether this process accepts new clients. */
    boolean isReady();

    /**
     * Excludes an engine from new requests, or uses it again.
     *
     * @param engine the engine's id
     * @return false if no such engine is listed
     */
    boolean setMaintenance(String engine, boolean excluded);

    /** Returns the counters and gauges of this process, in the text format of Prometheus. */
    String metrics();

    /** Starts to drain this process, which goes on running. No effect if it is draining. */
    void startDrain();

    /** Stops a drain; returns false if the process is terminating, which can't be stopped. */
    boolean stopDrain();
}
