package lineward.spool;

/** Reads a result in order, from its first block. Used on the event loop. */
public interface SpoolReader {
    /** Returned by {@link #seek} if the result has no such row. */
    int ROW_NOT_FOUND = -1;

    /** Returns the next block; null if none is in memory, and the listener is run when that changes. */
    ResultChunk poll();

    /** Returns what follows the blocks read so far. */
    ReadState readState();

    /**
     * Moves to the block with a row; only in a result with a key.
     *
     * @return rows of that block before it, or {@link #ROW_NOT_FOUND}
     */
    int seek(long row);

    /** Ends the reading, which may release the result. */
    void close();
}
