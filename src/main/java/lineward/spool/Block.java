package lineward.spool;

import lineward.spool.store.Segment;

/** One block of a result. Its bytes stay in memory unless they have been written to disk. */
final class Block {
    private enum Storage {
        MEMORY,
        /** Still in memory until the write ends, but already counted as disk space. */
        BEING_WRITTEN,
        FILE
    }

    private final long firstRow;
    private final int rows;
    private final int rawBytes;
    private Storage storage;
    /** Null once the block is on disk. */
    private byte[] data;
    /** Null until the block is on disk. */
    private Segment.Extent location;

    private Block(long firstRow, int rows, int rawBytes) {
        this.firstRow = firstRow;
        this.rows = rows;
        this.rawBytes = rawBytes;
    }

    static Block inMemory(long firstRow, int rows, byte[] data) {
        Block block = new Block(firstRow, rows, data.length);
        block.storage = Storage.MEMORY;
        block.data = data;
        return block;
    }

    static Block onDisk(Segment.Extent location) {
        Block block = new Block(location.firstRow(), location.rows(), location.rawBytes());
        block.writeSucceeded(location);
        return block;
    }

    void writeStarted() {
        storage = Storage.BEING_WRITTEN;
    }

    void writeSucceeded(Segment.Extent newLocation) {
        storage = Storage.FILE;
        location = newLocation;
        data = null;
    }

    void writeFailed() {
        storage = Storage.MEMORY;
    }

    boolean isInMemory() {
        return storage == Storage.MEMORY;
    }

    boolean isBeingWritten() {
        return storage == Storage.BEING_WRITTEN;
    }

    boolean isOnDisk() {
        return storage == Storage.FILE;
    }

    boolean containsRow(long row) {
        return row >= firstRow && row < firstRow + rows;
    }

    long firstRow() {
        return firstRow;
    }

    int rows() {
        return rows;
    }

    int rawBytes() {
        return rawBytes;
    }

    /** Returns the bytes of the block; null if they must be loaded from disk. */
    byte[] data() {
        return data;
    }

    /** Returns where the block is in its file; null until it has been written. */
    Segment.Extent location() {
        return location;
    }
}
