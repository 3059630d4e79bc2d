package lineward.spool.store;

import java.io.IOException;

/**
 * Thrown if a segment can't be used because it is truncated, corrupt, foreign or of an unknown version. The
 * message gives the reason; {@link #fault} determines whether recovery deletes the file.
 */
public final class UnusableSegmentException extends IOException {
    private static final long serialVersionUID = 1L;

    private final SegmentFault fault;

    UnusableSegmentException(SegmentFault fault, String message) {
        super(message);
        this.fault = fault;
    }

    UnusableSegmentException(String message, Throwable cause) {
        super(message, cause);
        this.fault = SegmentFault.CORRUPT;
    }

    /** Returns the kind of fault. */
    public SegmentFault fault() {
        return fault;
    }

    /** Throws an exception for a corrupt segment, with this message, unless the condition holds. */
    static void check(boolean condition, String message) throws UnusableSegmentException {
        if (!condition) {
            throw new UnusableSegmentException(SegmentFault.CORRUPT, message);
        }
    }
}
