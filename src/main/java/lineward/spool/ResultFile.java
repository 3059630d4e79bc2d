package lineward.spool;

import java.util.List;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SegmentStore;

/**
 * The file of one result. Confined to the event loop: {@link SegmentStore} writes on its writer thread and
 * reports the completion on the event loop, where the bytes are accounted for.
 */
final class ResultFile {
    private final Spool spool;
    private final long resultId;
    private final SegmentStore.Handle handle;
    private ResultFileState state;
    private int pendingWrites;

    private ResultFile(Spool spool, long resultId, SegmentStore.Handle handle, ResultFileState state) {
        this.spool = spool;
        this.resultId = resultId;
        this.handle = handle;
        this.state = state;
    }

    /** Returns the file of a new result; it is created on disk when the first block is written. */
    static ResultFile ofNewResult(Spool spool, long resultId) {
        return new ResultFile(spool, resultId, new SegmentStore.Handle(), ResultFileState.ABSENT);
    }

    /** Returns the file of a complete result of an earlier process. */
    static ResultFile ofRestoredResult(Spool spool, long resultId, Segment segment) {
        return new ResultFile(spool, resultId, new SegmentStore.Handle(segment), ResultFileState.SEALED);
    }

    /**
     * Writes a block. Once the write has ended, records whether the block is on disk or, after a failure,
     * still in memory, and then runs {@code onEnded}.
     */
    void write(Block block, Runnable onEnded) {
        state = state.writeBlock();
        block.writeStarted();
        pendingWrites++;
        spool.writeStarted(block.rawBytes());
        spool.store().append(handle, block.data(), block.firstRow(), block.rows(), (location, failure) -> {
            pendingWrites--;
            spool.writeEnded(block.rawBytes());
            spool.recordWriteOutcome(failure);
            if (failure == null) {
                block.writeSucceeded(location);
                spool.policy().bytesStored(resultId, block.rawBytes(), location.storedBytes());
            } else {
                block.writeFailed();
                spool.policy().writeFailed(resultId, block.rawBytes(), spool.now());
            }
            onEnded.run();
        });
    }

    /** Returns whether the manifest can be written: no block is being written and the file is not sealed. */
    boolean maySeal() {
        return pendingWrites == 0 && state != ResultFileState.SEALED;
    }

    /** Writes the manifest and the index; once they are written, the result survives a restart. */
    void seal(Manifest manifest, List<Segment.Extent> locations) {
        state = state.seal();
        spool.store().complete(handle, manifest, locations, (fileBytes, failure) -> {
            spool.recordWriteOutcome(failure);
            if (failure == null) {
                // From now on the header, the manifest and the trailer are counted too.
                long blockBytes = locations.stream()
                        .mapToLong(Segment.Extent::storedBytes)
                        .sum();
                spool.policy().bytesStored(resultId, blockBytes, fileBytes);
            }
        });
    }

    /** Loads a block that is on disk. */
    void read(Block block, SegmentStore.Completion<byte[]> completion) {
        spool.store().read(handle, block.location(), completion);
    }

    /** Deletes the file if a write was started; it may exist even if the write of every block failed. */
    void delete() {
        if (state != ResultFileState.ABSENT) {
            spool.store().delete(handle, (nothing, failure) -> spool.recordWriteOutcome(failure));
        }
    }
}
