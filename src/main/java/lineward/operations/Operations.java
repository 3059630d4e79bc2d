package lineward.operations;

/** What operators may ask of this process. All of it runs on the event loop. */
public interface Operations {
    /** @return whether this process can serve and wants to */
    boolean isReady();

    /**
     * Leaves an engine out, or uses it again.
     *
     * @return false if no such engine is known
     */
    boolean holdOut(String engine, boolean out);

    /** @return what this process has done and holds, in the text format of Prometheus */
    String figures();

    /** Sends clients away; the process stays. */
    void startDrain();

    /** @return whether clients are taken again; not while the process ends */
    boolean stopDrain();
}
