package lineward.mysql;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.testng.annotations.Test;

/** Packets of peers that write in pieces of any size. */
public class PacketDecoderTest {
    private static final byte[] TWO = {2, 0, 0, 7, 'a', 'b', 0, 0, 0, 1, 1, 0, 0, 2, 'c'};

    @Test
    public void packetsAreCutWhereverTheBytesBreak() {
        for (int cut = 0; cut <= TWO.length; cut++) {
            EmbeddedChannel channel = new EmbeddedChannel(new PacketDecoder(16));
            channel.writeInbound(Unpooled.copiedBuffer(TWO, 0, cut));
            channel.writeInbound(Unpooled.copiedBuffer(TWO, cut, TWO.length - cut));
            int[][] wanted = {{7, 2}, {1, 0}, {2, 1}};
            for (int[] packet : wanted) {
                ByteBuf frame = channel.readInbound();
                assertEquals(Packets.sequence(frame), packet[0]);
                assertEquals(Packets.payload(frame).readableBytes(), packet[1]);
                frame.release();
            }
            assertNull(channel.readInbound());
        }
    }
}
