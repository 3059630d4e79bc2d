package lineward.spool;

/** What follows the blocks that a reader has read. */
public enum ReadStatus {
    /** There are unread blocks, or more may arrive. */
    MORE,
    /** The whole result has been read. */
    END,
    /** The rest can't be read: the attempt failed, the file can't be read or the result was released. */
    FAILED,
    /** The lease of the result has expired. */
    EXPIRED
}
