package lineward.spool;

/** What a reader finds at its position. */
public enum ReadState {
    /** There is more, now or later. */
    MORE,
    /** All has been read. */
    END,
    /** What is missing will never come: the attempt failed or a file can't be read. */
    BROKEN,
    /** The reader's lease has expired. */
    EXPIRED
}
