package lineward.spool.store;

import java.io.IOException;

/** A segment can't be used: cut, spoilt, foreign or of an unknown version. The message says which. */
public final class CorruptSegmentException extends IOException {
    private static final long serialVersionUID = 1L;

    CorruptSegmentException(String message) {
        super(message);
    }
}
