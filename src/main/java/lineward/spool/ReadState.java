package lineward.spool;

/** What a reader finds at its position. */
public enum ReadState {
    /** There are more blocks, or there may be later. */
    MORE,
    /** All has been read. */
    END,
    /** The missing blocks never come: the attempt failed or a file can't be read. */
    BROKEN,
    /** The reader's lease has expired. */
    EXPIRED
}
