package lineward.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What engines may send, and what they may not. */
public class ReplyDecoderTest {
    @Test
    public void repliesAreCutWhereverTheBytesBreak() {
        byte[] bytes = "a1 HIT total=2,x=y 3\r\nr\r\n\r\na1 SHED - 0\r\n\r\n".getBytes(StandardCharsets.UTF_8);
        for (int cut = 0; cut <= bytes.length; cut++) {
            EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder());
            channel.writeInbound(Unpooled.copiedBuffer(bytes, 0, cut));
            channel.writeInbound(Unpooled.copiedBuffer(bytes, cut, bytes.length - cut));
            Reply hit = channel.readInbound();
            assertEquals(hit.word(), Reply.Word.HIT);
            assertEquals(hit.number("total", 1), 2);
            assertEquals(hit.body().toString(StandardCharsets.UTF_8), "r\r\n");
            hit.body().release();
            Reply shed = channel.readInbound();
            assertEquals(shed.word(), Reply.Word.SHED);
            shed.body().release();
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
    public void whatIsMalformedIsTold(String bytes) {
        EmbeddedChannel channel = new EmbeddedChannel(new ReplyDecoder());
        assertThrows(
                MalformedReplyException.class,
                () -> channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.UTF_8)));
    }
}
