package lineward.spool;

import java.util.Optional;

/** Reads a result in order, from its first block. Confined to the event loop. */
public interface SpoolReader {
    /** Returned by {@link #seek} if the result has no such row. */
    int ROW_NOT_FOUND = -1;

    /** Returns the next block; null if none is available. The listener is run when that may change. */
    ResultChunk poll();

    /** Returns what follows the blocks read so far. */
    ReadStatus readStatus();

    /**
     * Returns the error of the engine that follows the blocks if the status is FAILED; empty if the engine
     * sent none.
     */
    Optional<byte[]> engineError();

    /**
     * Moves to the block that contains a row. Must not be called for results without a key, which remove
     * the blocks that have been read, or after {@link #poll} has returned null, as a block may be loading.
     *
     * @return number of rows that precede the row in its block, or {@link #ROW_NOT_FOUND}
     */
    int seek(long row);

    /** Closes the reader, which may release the result. */
    void close();
}
