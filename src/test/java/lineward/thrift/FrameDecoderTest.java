package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Decoding of frames that arrive in pieces of any size. */
public class FrameDecoderTest {
    private static final byte[] TWO = {0, 0, 0, 2, 'a', 'b', 0, 0, 0, 3, 'c', 'd', 'e'};

    private static String next(EmbeddedChannel channel) {
        ByteBuf frame = channel.readInbound();
        try {
            return frame.toString(StandardCharsets.US_ASCII);
        } finally {
            frame.release();
        }
    }

    @Test
    public void decodesFramesSplitAtAnyByte() {
        for (int first = 0; first <= TWO.length; first++) {
            for (int second = first; second <= TWO.length; second++) {
                EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());
                channel.writeInbound(Unpooled.copiedBuffer(TWO, 0, first));
                channel.writeInbound(Unpooled.copiedBuffer(TWO, first, second - first));
                channel.writeInbound(Unpooled.copiedBuffer(TWO, second, TWO.length - second));
                assertEquals(next(channel), "ab");
                assertEquals(next(channel), "cde");
                assertNull(channel.readInbound());
            }
        }
    }

    @Test
    public void onlyAnIncompleteFrameIsStalled() {
        FrameDecoder decoder = new FrameDecoder();
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        for (int i = 0; i < TWO.length; i++) {
            boolean between = i == 0 || i == 6;
            assertEquals(decoder.isStalled(-1), !between, "after " + i + " bytes");
            assertFalse(decoder.isStalled(Long.MAX_VALUE));
            channel.writeInbound(Unpooled.copiedBuffer(TWO, i, 1));
        }
        assertFalse(decoder.isStalled(-1));
        assertTrue(channel.finishAndReleaseAll());
    }
}
