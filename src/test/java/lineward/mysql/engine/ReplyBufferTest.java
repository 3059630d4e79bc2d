package lineward.mysql.engine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import lineward.core.ByteBudget;
import lineward.mysql.wire.PacketRole;
import org.testng.annotations.Test;

/** Guards against replies that together exceed their budget, or that keep their part of it when they end. */
public class ReplyBufferTest {
    private static final ByteBuf PACKET = Unpooled.wrappedBuffer(new byte[600]).asReadOnly();
    private final ByteBudget budget = new ByteBudget(2048);

    private ReplyBuffer buffer() {
        return new ReplyBuffer(Unpooled.buffer(), budget);
    }

    private static boolean append(ReplyBuffer buffer) {
        return buffer.append(PACKET.duplicate(), PacketRole.HEAD);
    }

    @Test
    public void sharesTheBudgetUntilAReplyEnds() {
        ReplyBuffer first = buffer();
        ReplyBuffer second = buffer();
        assertTrue(append(first) && append(second));
        assertEquals(budget.used(), 2048, "capacities of the buffers");
        assertFalse(append(first));
        assertEquals(first.size(), 600);
        second.release();
        assertTrue(append(first));
        ByteBuf reply = first.detach();
        assertEquals(reply.readableBytes(), 1200);
        assertEquals(budget.used(), 0);
        reply.release();
    }
}
