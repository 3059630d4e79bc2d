package lineward.operations;

/** What operators may order of this process and ask of it. All of it runs on the event loop. */
public interface AdminOperations {
    /** Returns whether this process serves and wants new clients. */
    boolean isReady();

    /**
     * Excludes an engine from all new requests, or uses it again.
     *
     * @param engine the engine's id
     * @return false if no such engine is listed
     */
    boolean setMaintenance(String engine, boolean excluded);

    /** Returns the counters and gauges of this process, in the text format of Prometheus. */
    String metrics();

    /** Starts to send clients elsewhere; the process stays. No effect if a drain is in effect. */
    void startDrain();

    /** Welcomes clients again; returns false if the process terminates, so that a drain can't be stopped. */
    boolean stopDrain();
}
