package lineward.spool;

import java.util.ArrayList;
import java.util.List;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SegmentStore;

/**
 * One result: blocks in the order in which they came, in memory or on file, that grows until it is complete.
 * A result without a key is read once and its blocks are released as they are read; one with a key stays
 * until its lease ends. Confined to the event loop.
 */
public final class SpooledResult {
    private final Spool spool;
    private final long id;
    private final ResultDescription description;
    private final ResultFile file;
    private final BlockSequence blocks = new BlockSequence();
    private final BlockBuffer buffer = new BlockBuffer();
    private final List<ResultReader> readers = new ArrayList<>();
    private ResultState state = ResultState.GROWING;
    /** Of all blocks, those removed included. */
    private long rows;
    /** Received so far. */
    private long bytes;

    private Runnable flowListener = () -> {};

    private SpooledResult(Spool spool, long id, ResultDescription description, ResultFile file) {
        this.spool = spool;
        this.id = id;
        this.description = description;
        this.file = file;
    }

    /** Returns a result that begins to grow. */
    static SpooledResult begin(Spool spool, long id, ResultDescription description) {
        return new SpooledResult(spool, id, description, ResultFile.ofNewResult(spool, id));
    }

    /** Returns a complete result that was found on file. */
    static SpooledResult restore(Spool spool, long id, ResultDescription description, Segment.Found found) {
        ResultFile file = ResultFile.ofRestoredResult(spool, id, found.segment());
        SpooledResult result = new SpooledResult(spool, id, description, file);
        for (Segment.Extent location : found.blocks()) {
            result.blocks.add(Block.onFile(location));
            result.rows += location.rows();
            result.bytes += location.rawBytes();
        }
        result.state = result.state.complete();
        return result;
    }

    long id() {
        return id;
    }

    ResultDescription description() {
        return description;
    }

    /** Returns the digest of what was asked. */
    public String statement() {
        return description.statement();
    }

    /** Returns whether it has been released. */
    public boolean isReleased() {
        return state.isReleased();
    }

    /** Returns whether all of it is here. */
    public boolean isComplete() {
        return state.isComplete();
    }

    boolean isExpired() {
        return state.isExpired();
    }

    /** Sets who is notified when {@link #mayReadEngine} may have changed. */
    public void onFlowChange(Runnable onChange) {
        flowListener = onChange;
    }

    void notifyFlow() {
        flowListener.run();
    }

    /** Returns whether the engine is to be read on. */
    public boolean mayReadEngine() {
        boolean hasCapacity = spool.policy().mayReadEngine(id) && spool.diskKeepsUp();
        return state.isReleased() || hasCapacity;
    }

    /**
     * Returns whether the first row is to go out now, though the result is not complete.
     *
     * @param ageMs of the attempt
     * @param timeoutMs of the attempt
     */
    public boolean shouldStartResponse(double ageMs, double timeoutMs) {
        return !state.isReleased() && spool.policy().shouldStartResponse(id, bytes, ageMs, timeoutMs);
    }

    /**
     * Makes space for bytes that are to come.
     *
     * @return their offset in {@link #buffer}; {@link #commit} is to follow
     */
    public int reserve(int length) {
        return buffer.reserve(length);
    }

    /** Returns the array with the space reserved last; another one after each {@link #reserve}. */
    public byte[] buffer() {
        return buffer.array();
    }

    /**
     * The reserved bytes have been written.
     *
     * @param endsRow whether a row ends with them
     * @param rowContinues whether what follows belongs to the same row, and must be in the same block
     */
    public void commit(int length, boolean endsRow, boolean rowContinues) {
        if (state.isReleased()) {
            buffer.clear();
            return;
        }
        buffer.commit(length, endsRow);
        bytes += length;
        if (buffer.isFull() && !rowContinues) {
            seal();
        }
    }

    /** Ends the block that grows: rows and what is around them are never in one block. */
    public void seal() {
        if (buffer.isEmpty() || state.isReleased()) {
            return;
        }
        Block block = buffer.removeBlock(rows);
        rows += block.rows();
        blocks.add(block);
        if (spool.policy().allocate(id, block.rawBytes(), spool.now()) == SpoolPolicy.Placement.FILE) {
            file.write(block, this::writeEnded);
        }
        notifyReaders();
    }

    private void writeEnded() {
        removeReadBlocks();
        notifyFlow();
        notifyReaders();
        writeManifestIfOnFile();
    }

    /** Releases blocks that the one reader of a result without a key has passed. */
    private void removeReadBlocks() {
        if (description.isKeyed() || readers.isEmpty()) {
            return;
        }
        blocks.removeBefore(readers.get(0).nextBlock(), block -> {
            if (block.isInMemory()) {
                spool.policy().memoryReleased(id, block.rawBytes(), spool.now());
            }
        });
    }

    /** The result is complete. With a key, and on file to the last block, it outlives this process. */
    public void complete() {
        if (state.isReleased()) {
            return;
        }
        seal();
        state = state.complete();
        spool.policy().complete(id, spool.now());
        writeManifestIfOnFile();
        notifyReaders();
    }

    private void writeManifestIfOnFile() {
        boolean isDurable = description.isKeyed() && state.isComplete() && blocks.isOnFile();
        if (isDurable && file.mayComplete()) {
            long createdMs = System.currentTimeMillis();
            String user = description.user();
            Manifest manifest = new Manifest(user, description.key(), statement(), createdMs, rows, bytes);
            file.complete(manifest, blocks.locations());
        }
    }

    /** The attempt failed: what is missing will never come. */
    public void fail() {
        if (state.isReleased() || state.isComplete()) {
            return;
        }
        seal();
        state = state.fail();
        if (readers.isEmpty()) {
            release();
        } else {
            notifyReaders();
        }
    }

    /** Whoever asked for it has gone before it read: without a key nobody will come back. */
    public void abandon() {
        if (!description.isKeyed() || !state.isComplete()) {
            release();
        }
    }

    /** Its lease has expired: readers are notified and it goes with the last of them. */
    void expire() {
        state = state.expire();
        if (readers.isEmpty()) {
            release();
        } else {
            notifyReaders();
            notifyFlow();
        }
    }

    /** Gives all of it back. Readers that are left find it broken. */
    public void release() {
        if (state.isReleased()) {
            return;
        }
        state = state.release();
        blocks.clear();
        buffer.clear();
        spool.policy().release(id, spool.now());
        spool.remove(this);
        file.delete();
        notifyFlow();
        notifyReaders();
    }

    /**
     * Returns a new reader.
     *
     * @param onProgress is run when {@link SpoolReader#poll} or {@link SpoolReader#readState} may return
     *     something else
     */
    public SpoolReader read(Runnable onProgress) {
        ResultReader reader = new ResultReader(this, onProgress);
        readers.add(reader);
        spool.policy().readerOpened(id, spool.now());
        return reader;
    }

    private void notifyReaders() {
        List.copyOf(readers).forEach(ResultReader::notifyProgress);
    }

    boolean isReadable() {
        return !state.isReleased() && !state.isExpired();
    }

    /** Returns a block by its number, or null if nothing of it has come; a growing one is sealed. */
    Block blockOrNull(int number) {
        if (number == blocks.end()) {
            seal();
        }
        return number == blocks.end() ? null : blocks.get(number);
    }

    int numberOfBlockWith(long row) {
        return blocks.numberOfRow(row);
    }

    void load(Block block, SegmentStore.Completion<byte[]> completion) {
        file.read(block, completion);
    }

    /** A reader has taken a block. */
    void blockRead() {
        spool.policy().blockRead(id, spool.now());
        removeReadBlocks();
        notifyFlow();
    }

    /** Returns what lies ahead of a reader whose next block has that number. */
    ReadState readState(int nextBlock) {
        boolean hasMore = nextBlock < blocks.end() || !buffer.isEmpty();
        return state.readState(hasMore);
    }

    void readerClosed(ResultReader reader) {
        readers.remove(reader);
        boolean isUnowed = spool.policy().readerClosed(id, spool.now());
        boolean isStillNeeded = description.isKeyed() && state == ResultState.GROWING;
        if (isUnowed && !isStillNeeded) {
            release();
        }
    }
}
