package lineward.spool;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lineward.spool.store.Segment;

/** The blocks of a result in order, numbered from 0; the first ones may have been removed. */
final class BlockSequence {
    static final int NOT_FOUND = -1;

    private final List<Block> blocks = new ArrayList<>();
    /** Count of the removed blocks, which is also the number of the first remaining block. */
    private int removedCount;

    void add(Block block) {
        blocks.add(block);
    }

    /** Returns the number that the next added block will have. */
    int nextNumber() {
        return removedCount + blocks.size();
    }

    Block get(int number) {
        return blocks.get(number - removedCount);
    }

    /** Removes the blocks before a number; stops at the first block that is being written. */
    void removeBefore(int number, Consumer<Block> onRemoved) {
        while (removedCount < number && !blocks.isEmpty() && !blocks.get(0).isBeingWritten()) {
            Block block = blocks.remove(0);
            removedCount++;
            onRemoved.accept(block);
        }
    }

    void clear() {
        blocks.clear();
    }

    /** Returns the number of the block that contains a row of the result, or {@link #NOT_FOUND}. */
    int blockNumberOfRow(long row) {
        for (int i = 0; i < blocks.size(); i++) {
            if (blocks.get(i).containsRow(row)) {
                return removedCount + i;
            }
        }
        return NOT_FOUND;
    }

    /** Returns whether there is at least one block and all blocks are on disk. */
    boolean isFullyOnDisk() {
        return !blocks.isEmpty() && blocks.stream().allMatch(Block::isOnDisk);
    }

    List<Segment.Extent> locations() {
        return blocks.stream().map(Block::location).toList();
    }
}
