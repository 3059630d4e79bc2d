package lineward.spool;

/** The state of a {@link ResultFile}; each method returns the state after its event. */
enum ResultFileState {
    /** No block has been written. */
    ABSENT,
    /** Blocks are written to it. */
    GROWING,
    /** Manifest and index have been requested or found: the file does not change any more. */
    SEALED;

    /** A block is written; a sealed file takes none. */
    ResultFileState writeBlock() {
        if (this == SEALED) {
            throw new IllegalStateException("block written to a sealed file");
        }
        return GROWING;
    }

    /** The manifest is written, which also creates the file of a result without blocks. */
    ResultFileState seal() {
        if (this == SEALED) {
            throw new IllegalStateException("file sealed twice");
        }
        return SEALED;
    }
}
