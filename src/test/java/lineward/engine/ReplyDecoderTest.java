package lineward.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the decoding of replies, and the rejection of malformed ones. */
public class ReplyDecoderTest {
    @Test
    public void repliesAreDecodedWhereverTheBytesAreSplit() {
        String replies = "a1 HIT total=2,x=y 3\r\nr\r\n\r\na1 SHED - 0\r\n\r\n";
        byte[] bytes = replies.getBytes(StandardCharsets.UTF_8);
        for (int split = 0; split <= bytes.length; split++) {
            EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder());
            channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, split));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, split, bytes.length - split));
            Reply firstPage = channel.readInbound();
            assertEquals(firstPage.type(), ReplyType.FIRST_PAGE);
            assertEquals(firstPage.integer("total"), 2);
            assertEquals(firstPage.body().toString(StandardCharsets.UTF_8), "r\r\n");
            firstPage.body().release();
            Reply rejection = channel.readInbound();
            assertEquals(rejection.type(), ReplyType.REJECTED);
            rejection.body().release();
            assertNull(channel.readInbound());
        }
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {"a1 HIT - 1\r\nxyz"},
            {"a1 WHAT - 0\r\n\r\n"},
            {"a1 HIT - x\r\n"},
            {"a1 HIT - -1\r\n"},
            {"a1 HIT - 9999999\r\n"},
            {"a1 HIT 0\r\n"},
            {"a1 HIT - 0\n"},
            {"\r\n"},
            {"a1 HIT =1 0\r\n\r\n"},
            {"x".repeat(2000)},
            {" HIT - 0\r\n\r\n"},
            {"a1 hit - 0\r\n\r\n"}
        };
    }

    @Test(dataProvider = "malformed")
    public void malformedReplyFailsTheDecoding(String reply) {
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder());
        assertThrows(
                MalformedReplyException.class,
                () -> channel.writeInbound(Unpooled.copiedBuffer(reply, StandardCharsets.UTF_8)));
    }
}
