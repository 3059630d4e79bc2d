package lineward.spool;

/** The state of a {@link ResultFile}. The transition methods return the next state. */
enum ResultFileState {
    /** No write has been started. */
    ABSENT,
    /** At least one block has been submitted for writing, and more may follow. */
    APPENDABLE,
    /** The manifest and the index have been submitted or were recovered; no more blocks are written. */
    SEALED;

    /** Submits a block; a sealed file accepts none. */
    ResultFileState writeBlock() {
        if (this == SEALED) {
            throw new IllegalStateException("block written to a sealed file");
        }
        return APPENDABLE;
    }

    /** Submits the manifest; a file is sealed only once. */
    ResultFileState seal() {
        if (this == SEALED) {
            throw new IllegalStateException("file sealed twice");
        }
        return SEALED;
    }
}
