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
    private static final byte[] FRAMES = {0, 0, 0, 2, 'a', 'b', 0, 0, 0, 3, 'c', 'd', 'e'};

    private static String readFrame(EmbeddedChannel channel) {
        ByteBuf frame = channel.readInbound();
        try {
            return frame.toString(StandardCharsets.US_ASCII);
        } finally {
            frame.release();
        }
    }

    @Test
    public void decodesFramesSplitAtAnyByte() {
        for (int firstSplit = 0; firstSplit <= FRAMES.length; firstSplit++) {
            for (int secondSplit = firstSplit; secondSplit <= FRAMES.length; secondSplit++) {
                EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());
                channel.writeInbound(Unpooled.copiedBuffer(FRAMES, 0, firstSplit));
                channel.writeInbound(Unpooled.copiedBuffer(FRAMES, firstSplit, secondSplit - firstSplit));
                channel.writeInbound(Unpooled.copiedBuffer(FRAMES, secondSplit, FRAMES.length - secondSplit));
                assertEquals(readFrame(channel), "ab");
                assertEquals(readFrame(channel), "cde");
                assertNull(channel.readInbound());
            }
        }
    }

    @Test
    public void onlyAnIncompleteFrameIsStalled() {
        FrameDecoder decoder = new FrameDecoder();
        EmbeddedChannel channel = new EmbeddedChannel(decoder);
        for (int i = 0; i < FRAMES.length; i++) {
            boolean isBetweenFrames = i == 0 || i == 6;
            assertEquals(decoder.isStalled(-1), !isBetweenFrames, "after " + i + " bytes");
            assertFalse(decoder.isStalled(Long.MAX_VALUE));
            channel.writeInbound(Unpooled.copiedBuffer(FRAMES, i, 1));
        }
        assertFalse(decoder.isStalled(-1));
        assertTrue(channel.finishAndReleaseAll());
    }
}
