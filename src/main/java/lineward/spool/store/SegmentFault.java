package lineward.spool.store;

/** Why a segment can't be recovered. */
public enum SegmentFault {
    /** It is not a segment, was never completed, or its bytes differ from what was written. */
    CORRUPT,
    /** Its format version is not supported; another version of the program may need the file. */
    UNKNOWN_VERSION,
    /** The file could not be read or decoded. */
    UNREADABLE;

    /** Returns whether recovery deletes a segment with this fault. */
    public boolean isDeletedByRecovery() {
        return this != UNKNOWN_VERSION;
    }
}
