package lineward.spool;

import lineward.spool.store.Segment;

/** One block of a result, in memory or on file; a block that is being written is in both. */
final class Block {
    private enum Storage {
        MEMORY,
        /** In memory until the write ends, but already accounted for on file. */
        BEING_WRITTEN,
        FILE
    }

    private final long firstRow;
    private final int rows;
    private final int rawBytes;
    private Storage storage;
    /** Null once the block is on file. */
    private byte[] data;
    /** Null until the block is on file. */
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

    static Block onFile(Segment.Extent location) {
        Block block = new Block(location.firstRow(), location.rows(), location.rawBytes());
        block.written(location);
        return block;
    }

    void writeStarted() {
        storage = Storage.BEING_WRITTEN;
    }

    void written(Segment.Extent newLocation) {
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

    boolean isOnFile() {
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

    /** Returns its bytes; null if they have to be loaded from file. */
    byte[] data() {
        return data;
    }

    /** Returns where it is on file; null until it is there. */
    Segment.Extent location() {
        return location;
    }
}
