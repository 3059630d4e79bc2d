package lineward.mysql.wire;

import static org.testng.Assert.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The exact bytes of replies to clients with and without CLIENT_DEPRECATE_EOF. */
public class ResultFormatTest {
    private static final String EOF_3 = "05000003fe01000200";
    private static final String COLUMNS = "0100000101" + "020000020303";
    private static final String HEAD = COLUMNS + EOF_3;
    private static final String ROW = "0200000401aa";
    private static final String EOF_5 = "05000005fe01000200";

    private static ByteBuf buffer(String hex) {
        return Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(hex));
    }

    private static byte[] array(String hex) {
        return ByteBufUtil.decodeHexDump(hex);
    }

    @DataProvider
    public Object[][] replies() {
        return new Object[][] {
            {HEAD + ROW + EOF_5, false, COLUMNS + "0200000301aa" + "07000004fe000002000100"},
            {HEAD + "05000004fe01000200", false, COLUMNS + "07000003fe000002000100"},
            {HEAD + "03000004ff0104", false, COLUMNS + "03000003ff0104"},
            {"0700000100000002000000", false, "0700000100000002000000"},
            {"03000001ff0104", false, "03000001ff0104"},
            {
                "0c000001000100000001000100000000" + "020000020303" + EOF_3 + "020000040303" + EOF_5,
                true,
                "0c000001000100000001000100000000" + "020000020303" + "020000030303"
            }
        };
    }

    @Test(dataProvider = "replies")
    public void convertsACompleteReply(String reply, boolean prepareReply, String expected) {
        UnpooledByteBufAllocator alloc = UnpooledByteBufAllocator.DEFAULT;
        ByteBuf converted = ResultFormat.DEPRECATE_EOF.convert(alloc, buffer(reply), prepareReply);
        assertEquals(ByteBufUtil.hexDump(converted), expected);
        ByteBuf unchanged = ResultFormat.EOF_PACKETS.convert(alloc, buffer(reply), prepareReply);
        assertEquals(ByteBufUtil.hexDump(unchanged), reply);
    }

    @Test
    public void convertsPartsOfASpooledResult() {
        UnpooledByteBufAllocator alloc = UnpooledByteBufAllocator.DEFAULT;
        byte[] spooledRows = array(ROW + "0200000501bb");
        assertEquals(ByteBufUtil.hexDump(ResultFormat.DEPRECATE_EOF.convertColumns(array(HEAD))), COLUMNS);
        String cursorColumnsWithoutEof =
                ByteBufUtil.hexDump(ResultFormat.DEPRECATE_EOF.convertCursorColumns(alloc, array(HEAD)));
        assertEquals(cursorColumnsWithoutEof, COLUMNS + "07000003fe000042000000");
        String cursorColumnsWithEof =
                ByteBufUtil.hexDump(ResultFormat.EOF_PACKETS.convertCursorColumns(alloc, array(HEAD)));
        assertEquals(cursorColumnsWithEof, COLUMNS + "05000003fe00004200");
        assertEquals(
                ByteBufUtil.hexDump(ResultFormat.DEPRECATE_EOF.convertRows(spooledRows)),
                "0200000301aa" + "0200000401bb");
        assertEquals(ByteBufUtil.hexDump(spooledRows), ROW + "0200000501bb");
        ByteBuf tail = ResultFormat.DEPRECATE_EOF.convertLastPacket(alloc, array(EOF_5));
        assertEquals(ByteBufUtil.hexDump(tail), "07000004fe000002000100");
        assertEquals(ResultFormat.DEPRECATE_EOF.sequenceAfter(array(HEAD)), 3);
        assertEquals(ResultFormat.EOF_PACKETS.sequenceAfter(array(HEAD)), 4);
    }
}
