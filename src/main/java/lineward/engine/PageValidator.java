package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Checks that a page consists of complete rows of three tab-separated columns, without other control
 * characters and bytes that never occur in UTF-8, so that no corrupt data is sent to clients.
 */
final class PageValidator implements ByteProcessor {
    private static final int TABS_PER_ROW = 2;
    // Bytes that never occur in UTF-8: two lead bytes of overlong encodings, and all from the third value on.
    private static final int MIN_OVERLONG_LEAD_BYTE = 0xc0;
    private static final int MAX_OVERLONG_LEAD_BYTE = 0xc1;
    private static final int FIRST_BYTE_BEYOND_UNICODE = 0xf5;

    private int tabs;
    private boolean inRow;

    private PageValidator() {}

    /** Returns whether the page consists only of complete rows without invalid bytes. */
    static boolean isValid(ByteBuf page) {
        PageValidator validator = new PageValidator();
        return page.forEachByte(validator) < 0 && !validator.inRow;
    }

    @Override
    public boolean process(byte value) {
        int unsigned = value & 0xff;
        inRow = unsigned != '\n';
        if (unsigned == '\t') {
            tabs++;
            return tabs <= TABS_PER_ROW;
        }
        if (unsigned == '\n') {
            boolean rowIsComplete = tabs == TABS_PER_ROW;
            tabs = 0;
            return rowIsComplete;
        }
        return isTextByte(unsigned);
    }

    private static boolean isTextByte(int unsigned) {
        boolean overlong = unsigned == MIN_OVERLONG_LEAD_BYTE || unsigned == MAX_OVERLONG_LEAD_BYTE;
        return unsigned >= ' ' && unsigned < FIRST_BYTE_BEYOND_UNICODE && !overlong;
    }
}
