package lineward.spool;

/** The state of a {@link ResultReader}. The transition methods return the next state. */
enum ReaderState {
    /** No load is in progress: the next block is in memory, only on disk or has not arrived yet. */
    READY,
    /** The next block is being loaded from disk. */
    LOADING,
    /** The next block has been loaded. */
    LOADED,
    /** The next block could not be loaded, so nothing more can be read. */
    FAILED,
    /** The reader has been closed. */
    CLOSED;

    /** Starts the load of the next block; only a ready reader may start one. */
    ReaderState startLoad() {
        if (this != READY) {
            throw new IllegalStateException("load started by a reader that is " + this);
        }
        return LOADING;
    }

    /** Handles a successful load; has no effect if the reader was closed meanwhile. */
    ReaderState loadSucceeded() {
        return this == LOADING ? LOADED : this;
    }

    /** Handles a failed load; has no effect if the reader was closed meanwhile. */
    ReaderState loadFailed() {
        return this == LOADING ? FAILED : this;
    }

    /** Handles the read of the next block, from memory or after a load. */
    ReaderState blockRead() {
        return this == LOADED ? READY : this;
    }

    /** Closes the reader; allowed in every state. */
    ReaderState close() {
        return CLOSED;
    }

    /** Returns whether more blocks can be read. */
    boolean isReadable() {
        return this != FAILED && this != CLOSED;
    }
}
