package lineward.mysql.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.DecoderException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Complete and incomplete replies with the role of their last packet; null if a packet must be rejected. */
public class ReplyTrackerTest {
    private static final byte[] COLUMN = {3, 'd', 'e', 'f'};

    @DataProvider
    public Object[][] replies() {
        return new Object[][] {
            {false, new byte[][] {{0, 0, 0, 2, 0, 0, 0}}, "LAST_OK"},
            {false, new byte[][] {{1}, COLUMN, {-2, 0, 0, 2, 0}, {1, 'x'}, {-2, 0, 0, 2, 0}}, "LAST_OK"},
            {false, new byte[][] {{1}, COLUMN, {-2, 0, 0, 2, 0}, {1, 'x'}}, "ROW"},
            {false, new byte[][] {{1}, {3}, {-2, 0, 0, 2, 0}}, "HEAD_END"},
            {false, new byte[][] {{-1, 1, 4}}, "LAST_ERROR"},
            {false, new byte[][] {{1}, {3}, {-2, 0, 0, 2, 0}, {-1, 1, 4}}, "LAST_ERROR"},
            {true, new byte[][] {{0, 1, 0, 0, 0, 0, 0, 0, 0}}, "LAST_OK"},
            {true, new byte[][] {{0, 1, 0, 0, 0, 1, 0, 1, 0}, {3}, {-2, 0, 0, 2, 0}, {3}}, "HEAD"},
            {true, new byte[][] {{0, 1, 0, 0, 0, 1, 0, 0, 0}, {3}, {-2, 0, 0, 2, 0}}, "LAST_OK"},
            {false, new byte[][] {{}}, null},
            {false, new byte[][] {{0, 0}}, null},
            {false, new byte[][] {{-5}}, null},
            {true, new byte[][] {{5}}, null},
            {false, new byte[][] {{0, 0, 0, 10, 0, 0, 0}}, null}
        };
    }

    @Test(dataProvider = "replies")
    public void classifiesThePacketsOfAReply(boolean prepareReply, byte[][] packets, String role) {
        ReplyTracker tracker = new ReplyTracker(prepareReply);
        PacketRole last = null;
        for (byte[] packet : packets) {
            ByteBuf frame = Unpooled.wrappedBuffer(new byte[4], packet);
            if (role == null) {
                assertThrows(DecoderException.class, () -> tracker.classify(frame));
                return;
            }
            last = tracker.classify(frame);
        }
        assertEquals(String.valueOf(last), role);
    }
}
