package lineward.thrift;

/**
 * The number of ids in use that count for one connection. Outlives the connection by the quarantine of {@link
 * CallIds}, and so does not refer to it. Used on the event loop only.
 */
final class ClientCallIds {
    private int count;

    /** Returns the number of ids in use. */
    int count() {
        return count;
    }

    /** Counts an id that is in use from now on. */
    void acquire() {
        count++;
    }

    /** Counts an id that is no longer in use. */
    void release() {
        count--;
    }
}
