package lineward.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import lineward.core.ByteBudget;
import org.testng.annotations.Test;

/** Tests that the incomplete responses of several connections share one limit. */
public class ResponseMemoryLimiterTest {
    private final ByteBudget budget = new ByteBudget(100);

    private EmbeddedChannel connection() {
        return new EmbeddedChannel(new ResponseMemoryLimiter(budget));
    }

    private static HttpContent content(int bytes) {
        return new DefaultHttpContent(Unpooled.buffer(bytes).writeZero(bytes));
    }

    @Test
    public void failsTheConnectionWhoseContentExceedsTheLimit() {
        EmbeddedChannel first = connection();
        EmbeddedChannel second = connection();
        first.writeInbound(content(60));
        HttpContent excess = content(41);
        assertThrows(IllegalStateException.class, () -> second.writeInbound(excess));
        assertEquals(excess.refCnt(), 0);
        second.writeInbound(content(40));
        assertEquals(budget.used(), 100);
        first.finishAndReleaseAll();
        second.finishAndReleaseAll();
        assertEquals(budget.used(), 0);
    }

    @Test
    public void aCompleteResponseReleasesItsBytes() {
        EmbeddedChannel connection = connection();
        connection.writeInbound(content(60));
        connection.writeInbound(new DefaultLastHttpContent(Unpooled.buffer(10).writeZero(10)));
        assertEquals(budget.used(), 0);
        connection.finishAndReleaseAll();
    }
}
