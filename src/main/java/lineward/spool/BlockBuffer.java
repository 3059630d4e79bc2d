package lineward.spool;

import java.util.Arrays;

/** Collects the packets of a reply until they fill a block. */
final class BlockBuffer {
    /** Size at which a block is full; a row is never split, so a block may be longer. */
    static final int BLOCK_BYTES = 64 << 10;

    private static final int MIN_GROWTH_BYTES = 1024;
    private static final byte[] EMPTY = {};

    private byte[] bytes = EMPTY;
    private int length;
    private int rows;

    /** Reserves space for this many bytes, and returns its offset in {@link #array}. */
    int reserve(int count) {
        if (length + count > bytes.length) {
            int grown = Math.min(2 * bytes.length + MIN_GROWTH_BYTES, BLOCK_BYTES);
            bytes = Arrays.copyOf(bytes, Math.max(length + count, grown));
        }
        return length;
    }

    /** Returns the array that contains the reserved space; {@link #reserve} may replace it. */
    byte[] array() {
        return bytes;
    }

    /** Adds this many of the reserved bytes, which the caller has written, to the block. */
    void commit(int count, boolean endsRow) {
        length += count;
        rows += endsRow ? 1 : 0;
    }

    boolean isEmpty() {
        return length == 0;
    }

    boolean isFull() {
        return length >= BLOCK_BYTES;
    }

    /** Removes the collected packets and returns them as a block, whose first row has this number. */
    Block removeBlock(long firstRow) {
        byte[] data = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
        Block block = Block.inMemory(firstRow, rows, data);
        clear();
        return block;
    }

    void clear() {
        bytes = EMPTY;
        length = 0;
        rows = 0;
    }
}
