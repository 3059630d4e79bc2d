package lineward.operations;

/** What operators may ask of this process. All of it runs on the event loop. */
public interface AdminOperations {
    /** Returns whether this process can serve and wants to. */
    boolean isReady();

    /**
     * Leaves an engine out, or uses it again.
     *
     * @return false if no such engine is known
     */
    boolean setMaintenance(String engine, boolean out);

    /** Returns what this process has done and holds, in the text format of Prometheus. */
    String metrics();

    /** Sends clients away; the process stays. */
    void startDrain();

    /** Returns whether clients are taken again; not while the process ends. */
    boolean stopDrain();
}
