package lineward.spool.store;

/** Why a segment can't be recovered, as far as recovery treats it differently. */
public enum SegmentFault {
    /** It was never completed, or its bytes are not those that were written. */
    CORRUPT,
    /** It is of a format version that this program does not know; a later program may need it. */
    UNKNOWN_VERSION,
    /** The file could not be read at all. */
    UNREADABLE;

    /** Returns whether recovery deletes a segment with this fault. */
    public boolean isDeletedByRecovery() {
        return this != UNKNOWN_VERSION;
    }
}
