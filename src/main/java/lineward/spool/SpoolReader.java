package lineward.spool;

/** Reads a result from its first block on, in order. */
public interface SpoolReader {
    /** Returned by {@link #seek} if the result does not reach so far. */
    int ROW_NOT_FOUND = -1;

    /** Returns the next part; null: none is at hand, and the listener is notified when that changes. */
    ResultChunk poll();

    /** Returns what lies ahead of the parts read so far. */
    ReadState readState();

    /**
     * Goes to the block with a row; only in a result with a key, and before the first poll.
     *
     * @return rows of that block before it, or {@link #ROW_NOT_FOUND}
     */
    int seek(long row);

    /** Ends the reading; the result may be released with it. */
    void close();
}
