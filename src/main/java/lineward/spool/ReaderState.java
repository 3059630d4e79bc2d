package lineward.spool;

/** The state of a {@link ResultReader}; each method returns the state after its event. */
enum ReaderState {
    /** The next block is in memory, has yet to be loaded or has not come. */
    READY,
    /** The next block is being loaded from file. */
    LOADING,
    /** The next block has been loaded. */
    LOADED,
    /** The next block could not be loaded: nothing more can be read. */
    FAILED,
    /** The client does not read any more. */
    CLOSED;

    /** The load of the next block starts; only a reader that is ready may start one. */
    ReaderState startLoad() {
        if (this != READY) {
            throw new IllegalStateException("load started by a reader that is " + this);
        }
        return LOADING;
    }

    /** The next block has been loaded; a reader that was closed meanwhile ignores it. */
    ReaderState loadSucceeded() {
        return this == LOADING ? LOADED : this;
    }

    /** The next block could not be loaded; a reader that was closed meanwhile ignores it. */
    ReaderState loadFailed() {
        return this == LOADING ? FAILED : this;
    }

    /** The next block has been read, whether it had to be loaded or not. */
    ReaderState blockRead() {
        return this == LOADED ? READY : this;
    }

    /** The client does not read any more. */
    ReaderState close() {
        return CLOSED;
    }

    /** Returns whether blocks may be read. */
    boolean isReadable() {
        return this != FAILED && this != CLOSED;
    }
}
