package lineward.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the encoding of each request of the line protocol. */
public class RequestWriterTest {
    private static String written(Consumer<RequestWriter> request) {
        EmbeddedChannel channel = new EmbeddedChannel();
        request.accept(new RequestWriter(channel));
        StringBuilder all = new StringBuilder();
        for (ByteBuf piece = channel.readOutbound(); piece != null; piece = channel.readOutbound()) {
            all.append(piece.toString(StandardCharsets.US_ASCII));
            piece.release();
        }
        channel.finishAndReleaseAll();
        return all.toString();
    }

    @Test
    public void requestsOnAnAttemptAreEncoded() {
        assertEquals(written(writer -> writer.cancelQuery("00aa")), "never_mind 00aa\r\n");
        assertEquals(written(writer -> writer.changePriority("00aa", 3)), "hurry 00aa 3\r\n");
        assertEquals(written(writer -> writer.readPage("00aa", 7)), "turn 00aa 7\r\n");
        assertEquals(written(writer -> writer.closeResult("00aa")), "shut 00aa\r\n");
        assertEquals(written(writer -> writer.ping("t1")), "there t1\r\n");
    }

    @DataProvider
    public Object[][] grants() {
        return new Object[][] {{0.0, ""}, {1.2, ",pool=2"}};
    }

    @Test(dataProvider = "grants")
    public void queryContainsItsFieldsAndItsStatement(double grantMb, String expectedField) {
        ByteBuf statement = Unpooled.copiedBuffer("select 1", StandardCharsets.US_ASCII);
        QueryAttempt.TimeLimits timeLimits = new QueryAttempt.TimeLimits(60_000, 60_000);
        QueryAttempt.Listener ignored = (outcome, result) -> {};
        QueryAttempt attempt = new QueryAttempt("00aa", "report", statement, timeLimits, grantMb, 2, ignored);
        String request = written(writer -> writer.startQuery(attempt, () -> {}));
        String header = "want 00aa sort=report,patience=[0-9]+" + expectedField + ",band=2 8";
        assertTrue(request.matches(header + "\r\nselect 1\r\n"), request);
        attempt.discard();
        statement.release();
        assertEquals(statement.refCnt(), 0);
    }
}
