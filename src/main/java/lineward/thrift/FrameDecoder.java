package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Splits a client's bytes into frames, and knows since when a partial frame waits for its rest. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    /** Largest frame of a client: a statement and its fields. */
    private static final int MAX_FRAME_BYTES = 64 * 1024;

    private static final int LENGTH_OFFSET = 0;
    private static final int LENGTH_BYTES = 4;
    private static final int LENGTH_ADJUSTMENT = 0;

    private long partialSinceNanos;
    private boolean partial;

    FrameDecoder() {
        super(MAX_FRAME_BYTES, LENGTH_OFFSET, LENGTH_BYTES, LENGTH_ADJUSTMENT, LENGTH_BYTES);
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        Object frame = super.decode(ctx, in);
        partial &= frame == null;
        return frame;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (actualReadableBytes() == 0) {
            partial = false;
        } else if (!partial) {
            partial = true;
            partialSinceNanos = System.nanoTime();
        }
        super.channelReadComplete(ctx);
    }

    /** Returns whether part of a frame has arrived. */
    boolean hasPartialFrame() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether part of a frame has been waiting for its rest for more than that many nanoseconds. */
    boolean isStalled(long nanos) {
        return partial && System.nanoTime() - partialSinceNanos > nanos;
    }
}
