package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/** Cuts what a client sends into frames, and knows since when half a frame has been there. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    /** Largest frame of a client: a statement and its fields. */
    private static final int LARGEST_FRAME = 64 * 1024;

    private static final int LENGTH = 4;
    private long begunAt;
    private boolean begun;

    FrameDecoder() {
        super(LARGEST_FRAME, 0, LENGTH, 0, LENGTH);
    }

    @Override
    protected Object decode(ChannelHandlerContext ctx, ByteBuf in) throws Exception {
        Object frame = super.decode(ctx, in);
        begun &= frame == null;
        return frame;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
        if (actualReadableBytes() == 0) {
            begun = false;
        } else if (!begun) {
            begun = true;
            begunAt = System.nanoTime();
        }
        super.channelReadComplete(ctx);
    }

    /** Returns whether a part of a frame is here. */
    boolean holdsPart() {
        return actualReadableBytes() > 0;
    }

    /** Returns whether the frame that is on its way has been for longer than that. */
    boolean isStuck(long nanos) {
        return begun && System.nanoTime() - begunAt > nanos;
    }
}
