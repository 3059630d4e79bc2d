package lineward.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the body of a malformed reply is released. */
public class InFlightAttemptsTest {
    private static final QueryAttempt.TimeLimits TIME_LIMITS = new QueryAttempt.TimeLimits(1000, 1000);

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {ReplyType.FIRST_PAGE, "total", "x", "a\tb\tc\n"},
            {ReplyType.FIRST_PAGE, "total", "0", "a\tb\tc\n"},
            {ReplyType.FIRST_PAGE, "total", "1", "no row"},
            {ReplyType.NEXT_PAGE, "index", "x", "a\tb\tc\n"},
            {ReplyType.NEXT_PAGE, "index", "1", "a\tb\tc\n"}
        };
    }

    @Test(dataProvider = "malformed")
    public void bodyOfMalformedReplyIsReleased(ReplyType type, String field, String value, String page) {
        InFlightAttempts attempts = new InFlightAttempts();
        QueryAttempt.Listener ignored = (outcome, result) -> {};
        attempts.add(new QueryAttempt("00aa", "report", Unpooled.EMPTY_BUFFER, TIME_LIMITS, 0, 1, ignored));
        ByteBuf body = Unpooled.copiedBuffer(page, StandardCharsets.US_ASCII);
        Reply reply = new Reply("00aa", type, Map.of(field, value), body);
        RequestWriter writer = new RequestWriter(new EmbeddedChannel());
        assertThrows(MalformedReplyException.class, () -> attempts.handle(reply, writer));
        assertEquals(body.refCnt(), 0);
    }
}
