package lineward.spool;

/** Reads a result in order, from its first block. Runs on the event loop. */
public interface SpoolReader {
    /** Returned by {@link #seek} if the result has no such row. */
    int ROW_NOT_FOUND = -1;

    /** Returns the next block; null if it is not available, and the listener runs when that may change. */
    ResultChunk poll();

    /** Returns what follows the blocks read so far. */
    ReadState readState();

    /**
     * Moves to the block that contains a row; for results with a key, as others remove the blocks read.
     *
     * @return number of rows before it in that block, or {@link #ROW_NOT_FOUND}
     */
    int seek(long row);

    /** Closes the reader, which may release the result. */
    void close();
}
