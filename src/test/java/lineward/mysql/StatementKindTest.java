package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.TooLongFrameException;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The parsers of the MySQL front: what statements ask for, and packets. */
public class StatementKindTest {
    private static final byte[] COLUMN = {3, 'd', 'e', 'f'};

    @DataProvider
    public Object[][] statements() {
        return new Object[][] {
            {"select 1", "Read"},
            {"  /* x */ SELECT replace(a, 'b', 'c') from t", "Read"},
            {"(select 1) union (select 2)", "Read"},
            {"show tables", "Read"},
            {"explain select 1", "Read"},
            {"select 'update' from `insert`", "Read"},
            {"select @@session.sql_mode", "Read"},
            {"with x as (select 1) select * from x", "Read"},
            {"with x as (select 1) delete from t", "Write"},
            {"select 1 for update", "Write"},
            {"select 1 into outfile 'x'", "Write"},
            {"select 1 /*! into outfile 'x' */", "Write"},
            {"/*!50000 delete from t */", "Write"},
            {"insert into t values (1)", "Write"},
            {"call p()", "Write"},
            {"", "Write"},
            {"truncate t", "Write"},
            {"select @a := 1", "Rejected"},
            {"select @a", "Rejected"},
            {"select get_lock('a', 1)", "Rejected"},
            {"select Last_Insert_Id ()", "Rejected"},
            {"start transaction", "Rejected"},
            {"begin", "Rejected"},
            {"lock tables t read", "Rejected"},
            {"prepare s from 'select 1'", "Rejected"},
            {"drop temporary table t", "Rejected"},
            {"set sql_mode = ''", "SetVariables"},
            {"rollback to s", "Rejected"},
            {"rollback work to s", "Rejected"},
            {"rollback", "NoOperation"},
            {"COMMIT", "NoOperation"},
            {"SET NAMES 'utf8mb4' COLLATE x", "SetVariables"},
            {"use `sales`", "UseSchema"}
        };
    }

    @Test(dataProvider = "statements")
    public void theKindOfAStatementIsKnown(String text, String kind) {
        assertEquals(StatementKind.of(text).getClass().getSimpleName(), kind);
    }

    @Test
    public void anOverLongPacketIsToldBeforeItIsRead() {
        EmbeddedChannel channel = new EmbeddedChannel(new PacketDecoder(10));
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {1, 0, 0, 0, 5, 11, 0}));
        ByteBuf frame = channel.readInbound();
        assertEquals(frame.readableBytes(), 5);
        frame.release();
        ByteBuf restOfHead = Unpooled.wrappedBuffer(new byte[] {0, 0});
        assertThrows(TooLongFrameException.class, () -> channel.writeInbound(restOfHead));
    }

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
    public void theLastPacketOfAReplyIsKnown(boolean prepare, byte[][] packets, String place) {
        ReplyTracker tracker = new ReplyTracker(prepare);
        ReplyTracker.PacketRole last = null;
        for (byte[] packet : packets) {
            ByteBuf frame = Unpooled.wrappedBuffer(new byte[4], packet);
            if (place == null) {
                assertThrows(DecoderException.class, () -> tracker.classify(frame));
                return;
            }
            last = tracker.classify(frame);
        }
        assertEquals(String.valueOf(last), place);
    }
}
