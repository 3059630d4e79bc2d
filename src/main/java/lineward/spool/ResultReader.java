package lineward.spool;

import java.io.IOException;
import java.util.Objects;

/** Reads a result's blocks in order and loads those that are on file. Confined to the event loop. */
final class ResultReader implements SpoolReader {
    private final SpooledResult result;
    private final Runnable onProgress;
    private int nextBlock;
    private boolean loading;
    /** The next block if it had to be loaded, else null. */
    private byte[] loaded;

    private IOException loadFailure;
    private boolean closed;

    ResultReader(SpooledResult result, Runnable onProgress) {
        this.result = result;
        this.onProgress = Objects.requireNonNull(onProgress);
    }

    void notifyProgress() {
        onProgress.run();
    }

    /** Returns the number of the block that it reads next: those before it are not needed any more. */
    int nextBlock() {
        return nextBlock;
    }

    @Override
    public ResultChunk poll() {
        if (!isReadable()) {
            return null;
        }
        Block block = result.blockOrNull(nextBlock);
        if (block == null) {
            return null;
        }
        byte[] data = block.data() == null ? loaded : block.data();
        if (data == null) {
            load(block);
            return null;
        }
        loaded = null;
        nextBlock++;
        result.blockRead();
        return new ResultChunk(data, block.rows());
    }

    private boolean isReadable() {
        return !closed && loadFailure == null && result.isReadable();
    }

    private void load(Block block) {
        if (loading) {
            return;
        }
        loading = true;
        result.load(block, (data, failure) -> {
            loading = false;
            loaded = data;
            loadFailure = failure;
            if (!closed) {
                notifyProgress();
            }
        });
    }

    @Override
    public ReadState readState() {
        if (loadFailure != null && !result.isExpired()) {
            return ReadState.BROKEN;
        }
        return result.readState(nextBlock);
    }

    @Override
    public int seek(long row) {
        int number = result.numberOfBlockWith(row);
        if (number == BlockSequence.NOT_FOUND) {
            return ROW_NOT_FOUND;
        }
        nextBlock = number;
        return (int) (row - result.blockOrNull(number).firstRow());
    }

    @Override
    public void close() {
        if (!closed) {
            closed = true;
            result.readerClosed(this);
        }
    }
}
