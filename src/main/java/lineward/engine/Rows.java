package lineward.engine;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/** What a page may hold: whole rows of three columns. Noise of the right length has another look. */
final class Rows implements ByteProcessor {
    private static final int TABS = 2;
    /** Bytes that stand nowhere in UTF-8. */
    private static final int OVERLONG = 0xc0;

    private static final int OVERLONG_ASCII = 0xc1;
    private static final int PAST_UNICODE = 0xf5;
    private int tabs;
    private boolean inRow;

    private Rows() {}

    static boolean areWhole(ByteBuf page) {
        Rows rows = new Rows();
        return page.forEachByte(rows) < 0 && !rows.inRow;
    }

    @Override
    public boolean process(byte value) {
        int octet = value & 0xff;
        inRow = octet != '\n';
        if (octet == '\t') {
            tabs++;
            return tabs <= TABS;
        }
        if (octet == '\n') {
            boolean whole = tabs == TABS;
            tabs = 0;
            return whole;
        }
        return octet >= ' ' && octet != OVERLONG && octet != OVERLONG_ASCII && octet < PAST_UNICODE;
    }
}
