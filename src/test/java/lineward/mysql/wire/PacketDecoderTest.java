package lineward.mysql.wire;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.TooLongFrameException;
import org.testng.annotations.Test;

/** The decoding of packets whose bytes arrive in parts, and of packets that are too long. */
public class PacketDecoderTest {
    private static final byte[] PACKETS = {2, 0, 0, 7, 'a', 'b', 0, 0, 0, 1, 1, 0, 0, 2, 'c'};

    @Test
    public void decodesPacketsThatArriveInTwoParts() {
        for (int split = 0; split <= PACKETS.length; split++) {
            EmbeddedChannel channel = new EmbeddedChannel(new PacketDecoder(16));
            channel.writeInbound(Unpooled.copiedBuffer(PACKETS, 0, split));
            channel.writeInbound(Unpooled.copiedBuffer(PACKETS, split, PACKETS.length - split));
            int[][] sequencesAndLengths = {{7, 2}, {1, 0}, {2, 1}};
            for (int[] packet : sequencesAndLengths) {
                ByteBuf frame = channel.readInbound();
                assertEquals(Packets.sequence(frame), packet[0]);
                assertEquals(Packets.payload(frame).readableBytes(), packet[1]);
                frame.release();
            }
            assertNull(channel.readInbound());
        }
    }

    @Test
    public void rejectsATooLongPacketByItsHeader() {
        EmbeddedChannel channel = new EmbeddedChannel(new PacketDecoder(10));
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {1, 0, 0, 0, 5, 11, 0}));
        ByteBuf frame = channel.readInbound();
        assertEquals(frame.readableBytes(), 5);
        frame.release();
        ByteBuf endOfHeader = Unpooled.wrappedBuffer(new byte[] {0, 0});
        assertThrows(TooLongFrameException.class, () -> channel.writeInbound(endOfHeader));
    }
}
