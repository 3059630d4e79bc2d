package lineward.spool;

import java.util.ArrayList;
import java.util.List;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SegmentStore;

/**
 * One result: its blocks in order, in memory or on disk; blocks are added until it is complete. A result
 * without a key is read once, and its blocks are removed as they are read. A complete result with a key is
 * retained until its lease expires or its space is needed. Confined to the event loop.
 */
public final class SpooledResult {
    private final Spool spool;
    private final long id;
    private final ResultDescription description;
    private final ResultFile file;
    private final BlockSequence blocks = new BlockSequence();
    private final BlockBuffer buffer = new BlockBuffer();
    private final List<ResultReader> readers = new ArrayList<>();
    private ResultState state = ResultState.RECEIVING;
    /** Number of rows of all blocks, including removed ones. */
    private long rowCount;
    /** Number of bytes received so far, including removed blocks. */
    private long bytes;

    private Runnable flowListener = () -> {};

    private SpooledResult(Spool spool, long id, ResultDescription description, ResultFile file) {
        this.spool = spool;
        this.id = id;
        this.description = description;
        this.file = file;
    }

    /** Returns a new, empty result, which the engine is about to send. */
    static SpooledResult begin(Spool spool, long id, ResultDescription description) {
        return new SpooledResult(spool, id, description, ResultFile.ofNewResult(spool, id));
    }

    /** Returns a complete result of an earlier process. */
    static SpooledResult restore(Spool spool, long id, ResultDescription description, Segment.Result stored) {
        ResultFile file = ResultFile.ofRestoredResult(spool, id, stored.segment());
        SpooledResult result = new SpooledResult(spool, id, description, file);
        for (Segment.Extent location : stored.blocks()) {
            result.blocks.add(Block.onDisk(location));
            result.rowCount += location.rows();
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

    /** Returns the digest of the statement and its arguments. */
    public String digest() {
        return description.digest();
    }

    /** Returns whether the result has been released. */
    public boolean isReleased() {
        return state.isReleased();
    }

    /** Returns whether the engine has sent the whole result. */
    public boolean isComplete() {
        return state.isComplete();
    }

    boolean isExpired() {
        return state.isExpired();
    }

    /** Sets the listener that is run when {@link #mayReadEngine} may have changed. */
    public void onFlowChange(Runnable onChange) {
        flowListener = onChange;
    }

    void notifyFlowListener() {
        flowListener.run();
    }

    /** Returns whether the engine may be read: memory and disk have capacity, or the result is released. */
    public boolean mayReadEngine() {
        boolean hasCapacity = spool.policy().mayReadEngine(id) && spool.hasWriteCapacity();
        return state.isReleased() || hasCapacity;
    }

    /** Returns whether to start sending the incomplete result, given age and timeout of its attempt. */
    public boolean shouldStartResponse(double ageMs, double timeoutMs) {
        return !state.isReleased() && spool.policy().shouldStartResponse(id, bytes, ageMs, timeoutMs);
    }

    /** Reserves space; returns its offset in {@link #buffer}. {@link #commit} must follow. */
    public int reserve(int length) {
        return buffer.reserve(length);
    }

    /** Returns the array that contains the reserved space; {@link #reserve} may replace it. */
    public byte[] buffer() {
        return buffer.array();
    }

    /**
     * Adds reserved bytes, which the caller has written, to the current block.
     *
     * @param endsRow whether these bytes end a row
     * @param rowContinues whether the next bytes belong to the same row, and so to the same block
     */
    public void commit(int length, boolean endsRow, boolean rowContinues) {
        if (state.isReleased()) {
            buffer.clear();
            return;
        }
        buffer.commit(length, endsRow);
        bytes += length;
        if (buffer.isFull() && !rowContinues) {
            endBlock();
        }
    }

    /** Ends the current block; called before and after rows, so that they share none with other packets. */
    public void endBlock() {
        if (buffer.isEmpty() || state.isReleased()) {
            return;
        }
        Block block = buffer.removeBlock(rowCount);
        rowCount += block.rows();
        blocks.add(block);
        if (spool.policy().allocate(id, block.rawBytes(), spool.now()) == SpoolPolicy.Placement.FILE) {
            file.write(block, this::writeEnded);
        }
        notifyReaders();
    }

    private void writeEnded() {
        removeReadBlocks();
        notifyFlowListener();
        notifyReaders();
        writeManifestIfOnDisk();
    }

    /** Removes the blocks that have been read, if the result has no key and thus only one reader. */
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

    /** Marks the result as complete; with a key, it survives a restart once all its blocks are on disk. */
    public void complete() {
        if (state.isReleased()) {
            return;
        }
        endBlock();
        state = state.complete();
        spool.policy().complete(id, spool.now());
        writeManifestIfOnDisk();
        notifyReaders();
    }

    private void writeManifestIfOnDisk() {
        boolean isDurable = description.isKeyed() && state.isComplete() && blocks.isFullyOnDisk();
        if (isDurable && file.maySeal()) {
            long createdMs = System.currentTimeMillis();
            String user = description.user();
            Manifest manifest = new Manifest(user, description.key(), digest(), createdMs, rowCount, bytes);
            file.seal(manifest, blocks.locations());
        }
    }

    /** Fails the result with the engine's error, in its wire format, which follows the blocks received. */
    public void fail(byte[] error) {
        readers.forEach(reader -> reader.setEngineError(error));
        fail();
    }

    /** Marks the attempt as failed: readers get the blocks received so far, then an error. */
    public void fail() {
        if (state.isReleased() || state.isComplete()) {
            return;
        }
        endBlock();
        state = state.fail();
        if (readers.isEmpty()) {
            release();
        } else {
            notifyReaders();
        }
    }

    /** Releases the result of a disconnected client unless it can be read later: complete and with a key. */
    public void releaseUnlessRetained() {
        if (!description.isKeyed() || !state.isComplete()) {
            release();
        }
    }

    /** Marks the lease as expired; releases the result if it has no readers, and notifies them otherwise. */
    void expire() {
        state = state.expire();
        if (readers.isEmpty()) {
            release();
        } else {
            notifyReaders();
            notifyFlowListener();
        }
    }

    /** Releases the memory and deletes the file. Remaining readers can read nothing more. */
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
        notifyFlowListener();
        notifyReaders();
    }

    /**
     * Returns a new reader.
     *
     * @param onProgress run when {@link SpoolReader#poll} or {@link SpoolReader#readStatus} may return
     *     another value
     */
    public SpoolReader openReader(Runnable onProgress) {
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

    /** Returns a block by number, null if it has not arrived; ends the current block if it is that one. */
    Block blockOrNull(int number) {
        if (number == blocks.nextNumber()) {
            endBlock();
        }
        return number == blocks.nextNumber() ? null : blocks.get(number);
    }

    int blockNumberOfRow(long row) {
        return blocks.blockNumberOfRow(row);
    }

    void load(Block block, SegmentStore.Completion<byte[]> completion) {
        file.read(block, completion);
    }

    /** Renews the lease, removes blocks that have been read and resumes the engine if possible. */
    void blockRead() {
        spool.policy().blockRead(id, spool.now());
        removeReadBlocks();
        notifyFlowListener();
    }

    /** Returns what follows the blocks that a reader has read, given the number of its next block. */
    ReadStatus readStatus(int nextBlock) {
        boolean hasMore = nextBlock < blocks.nextNumber() || !buffer.isEmpty();
        return state.readStatus(hasMore);
    }

    void readerClosed(ResultReader reader) {
        readers.remove(reader);
        boolean isReleasable = spool.policy().readerClosed(id, spool.now());
        boolean willBeRetained = description.isKeyed() && state == ResultState.RECEIVING;
        if (isReleasable && !willBeRetained) {
            release();
        }
    }
}
