package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.OptionalInt;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decoding of valid and malformed messages, which are written in hexadecimal with ignored spaces. */
public class ThriftReaderTest {
    private static ByteBuf hex(String text) {
        return Unpooled.wrappedBuffer(ByteBufUtil.decodeHexDump(text.replace(" ", "")));
    }

    @Test
    public void readsFieldsAndStatementAndSkipsOtherArguments() {
        ThriftReader.Invocation invocation = ThriftReader.readInvocation(hex("0c 0009 08 0001 00000007 00"
                + "0f 0005 0b 00000002 00000001 41 00000000"
                + "0d 0001 0b 0b 00000001 00000002 6f70 00000001 78"
                + "0a 0006 0000000000000000 0b 0002 00000003 616263 00"));
        assertEquals(invocation.fields().get(CallField.REQUEST_CLASS), "x");
        assertEquals(invocation.statement().toString(StandardCharsets.UTF_8), "abc");
        assertEquals(ThriftReader.readAbortedSequenceNumber(hex("08 0001 0000002a 00")), OptionalInt.of(42));
        ThriftReader.Header header = ThriftReader.readHeader(hex("80010001 00000001 61 00000005"));
        assertEquals(header, new ThriftReader.Header(1, "a", 5));
    }

    @DataProvider
    public Object[][] malformedHeaders() {
        return new Object[][] {
            {""},
            {"00000001"},
            {"80020001 00000001 61 00000005"},
            {"80010001 7fffffff 61"},
            {"80010001 ffffffff"},
            {"80010001 00000004 61"}
        };
    }

    @Test(dataProvider = "malformedHeaders")
    public void rejectsMalformedHeaders(String hexDump) {
        assertThrows(CorruptedFrameException.class, () -> ThriftReader.readHeader(hex(hexDump)));
    }

    @DataProvider
    public Object[][] malformedArguments() {
        return new Object[][] {
            {""},
            {"0d 0001 0b 0b 00000001"},
            {"0d 0001 0b 0b ffffffff"},
            {"0d 0001 08 0b 00000001"},
            {"0d 0001 0b 0b 7fffffff"},
            {"0b 0002 00000009 61"},
            {"0b 0002 ffffffff"},
            {"63 0009"},
            {"0f 0009 0b 7fffffff"},
            {"0c 0001 ".repeat(64)},
            {"0c 0009 08"}
        };
    }

    @Test(dataProvider = "malformedArguments")
    public void rejectsMalformedArguments(String hexDump) {
        assertThrows(CorruptedFrameException.class, () -> ThriftReader.readInvocation(hex(hexDump)));
    }
}
