package lineward.spool;

import java.util.Objects;
import java.util.Optional;

/** Reads the blocks of a result in order and loads those on disk. Confined to the event loop. */
final class ResultReader implements SpoolReader {
    private final SpooledResult result;
    private final Runnable onProgress;
    private int nextBlock;
    private ReaderState state = ReaderState.READY;
    /** The bytes of the next block; null unless the state is {@link ReaderState#LOADED}. */
    private byte[] loadedData;

    /** Null unless an error of the engine has ended the result. */
    private byte[] engineError;

    ResultReader(SpooledResult result, Runnable onProgress) {
        this.result = result;
        this.onProgress = Objects.requireNonNull(onProgress);
    }

    void setEngineError(byte[] error) {
        engineError = error;
    }

    void notifyProgress() {
        onProgress.run();
    }

    /** Returns the number of the block that is read next; only {@link #seek} returns to an earlier one. */
    int nextBlock() {
        return nextBlock;
    }

    @Override
    public ResultChunk poll() {
        if (!state.isReadable() || !result.isReadable()) {
            return null;
        }
        Block block = result.blockOrNull(nextBlock);
        if (block == null) {
            return null;
        }
        byte[] data = block.data() == null ? loadedData : block.data();
        if (data == null) {
            startLoadIfIdle(block);
            return null;
        }
        state = state.blockRead();
        loadedData = null;
        nextBlock++;
        result.blockRead();
        return new ResultChunk(data, block.rows());
    }

    private void startLoadIfIdle(Block block) {
        if (state == ReaderState.LOADING) {
            return;
        }
        state = state.startLoad();
        result.load(block, (data, failure) -> {
            state = failure == null ? state.loadSucceeded() : state.loadFailed();
            if (state == ReaderState.CLOSED) {
                return;
            }
            loadedData = data;
            notifyProgress();
        });
    }

    @Override
    public ReadStatus readStatus() {
        if (state == ReaderState.FAILED && !result.isExpired()) {
            return ReadStatus.FAILED;
        }
        return result.readStatus(nextBlock);
    }

    @Override
    public Optional<byte[]> engineError() {
        return Optional.ofNullable(engineError);
    }

    @Override
    public int seek(long row) {
        int number = result.blockNumberOfRow(row);
        if (number == BlockSequence.NOT_FOUND) {
            return ROW_NOT_FOUND;
        }
        nextBlock = number;
        return (int) (row - result.blockOrNull(number).firstRow());
    }

    @Override
    public void close() {
        if (state != ReaderState.CLOSED) {
            state = state.close();
            result.readerClosed(this);
        }
    }
}
