package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.OptionalLong;

/**
 * Splits the bytes of a client into frames, and tracks how long a frame has been incomplete. Runs on the
 * event loop of its channel.
 */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    /** Maximum size of a client's frame, which holds a statement and its fields. */
    private static final int MAX_FRAME_BYTES = 64 * 1024;

    private static final int LENGTH_OFFSET = 0;
    private static final int LENGTH_BYTES = 4;
    private static final int LENGTH_ADJUSTMENT = 0;

    private OptionalLong incompleteSinceNanos = OptionalLong.empty();

    FrameDecoder() {
        super(MAX_FRAME_BYTES, LENGTH_OFFSET, LENGTH_BYTES, LENGTH_ADJUSTMENT, LENGTH_BYTES);
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        Object frame = super.decode(ctx, in);
        if (frame != null) {
            incompleteSinceNanos = OptionalLong.empty();
        }
        return frame;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (!hasPartialFrame()) {
            incompleteSinceNanos = OptionalLong.empty();
        } else if (incompleteSinceNanos.isEmpty()) {
            incompleteSinceNanos = OptionalLong.of(System.nanoTime());
        }
        super.channelReadComplete(ctx);
    }

    /** Returns whether part of a frame has arrived. */
    boolean hasPartialFrame() {
        return actualReadableBytes() > 0;
    }

    /** Returns the size of the frame of which a part has arrived, with its length; 0 if there is none. */
    int partialFrameBytes() {
        if (actualReadableBytes() < LENGTH_BYTES) {
            return actualReadableBytes();
        }
        ByteBuf buffer = internalBuffer();
        return LENGTH_BYTES + buffer.getInt(buffer.readerIndex());
    }

    /** Restarts the time for which a frame has been incomplete, after its bytes were not read for a while. */
    void restartIncompleteTime() {
        incompleteSinceNanos = hasPartialFrame() ? OptionalLong.of(System.nanoTime()) : OptionalLong.empty();
    }

    /** Returns whether a frame has been incomplete for more than that many nanoseconds. */
    boolean isStalled(long nanos) {
        long nowNanos = System.nanoTime();
        return incompleteSinceNanos.isPresent() && nowNanos - incompleteSinceNanos.getAsLong() > nanos;
    }
}
