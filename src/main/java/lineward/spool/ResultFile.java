package lineward.spool;

import java.util.List;
import lineward.spool.store.Manifest;
import lineward.spool.store.Segment;
import lineward.spool.store.SegmentStore;

/** The file of one result: writes blocks beside the event loop and accounts for them as they arrive there. */
final class ResultFile {
    private final Spool spool;
    private final long resultId;
    private final SegmentStore.Handle handle;
    private boolean exists;
    private int pendingWrites;
    private boolean manifestRequested;

    private ResultFile(Spool spool, long resultId, SegmentStore.Handle handle, boolean exists) {
        this.spool = spool;
        this.resultId = resultId;
        this.handle = handle;
        this.exists = exists;
    }

    /** Returns the file of a new result, which the first block creates. */
    static ResultFile ofNewResult(Spool spool, long resultId) {
        return new ResultFile(spool, resultId, new SegmentStore.Handle(), false);
    }

    /** Returns the file of a result that was found at the start. */
    static ResultFile ofRestoredResult(Spool spool, long resultId, Segment segment) {
        return new ResultFile(spool, resultId, new SegmentStore.Handle(segment), true);
    }

    /** Writes a block. Its {@link Block} tells how that ended once {@code onEnded} is run. */
    void write(Block block, Runnable onEnded) {
        block.writeStarted();
        exists = true;
        pendingWrites++;
        spool.writeStarted(block.rawBytes());
        spool.store().append(handle, block.data(), block.firstRow(), block.rows(), (location, failure) -> {
            pendingWrites--;
            spool.writeEnded(block.rawBytes());
            spool.logWriteFailure(failure);
            if (failure == null) {
                block.written(location);
                spool.policy().blockStored(resultId, block.rawBytes(), location.storedBytes());
            } else {
                block.writeFailed();
                spool.policy().writeFailed(resultId, block.rawBytes(), spool.now());
            }
            onEnded.run();
        });
    }

    /** Returns whether its manifest may be written now: no block is being written, and it has none yet. */
    boolean mayComplete() {
        return pendingWrites == 0 && !manifestRequested;
    }

    /** Writes manifest and index; from then on the result outlives this process. */
    void complete(Manifest manifest, List<Segment.Extent> locations) {
        manifestRequested = true;
        spool.store().complete(handle, manifest, locations, (fileBytes, failure) -> {
            spool.logWriteFailure(failure);
            if (failure == null) {
                long blockBytes = locations.stream()
                        .mapToLong(Segment.Extent::storedBytes)
                        .sum();
                spool.policy().blockStored(resultId, blockBytes, fileBytes);
            }
        });
    }

    /** Loads a block that is on file. */
    void read(Block block, SegmentStore.Completion<byte[]> completion) {
        spool.store().read(handle, block.location(), completion);
    }

    /** Deletes the file if there ever was one, even if no block is left that is stored there. */
    void delete() {
        if (exists) {
            spool.store().delete(handle, (nothing, failure) -> spool.logWriteFailure(failure));
        }
    }
}
