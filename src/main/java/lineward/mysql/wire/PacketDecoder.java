package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Splits the bytes of one connection into frames, which are packets with their headers. It checks the length
 * in the header before it buffers the payload.
 */
public final class PacketDecoder extends ByteToMessageDecoder {
    private final int maxPayloadBytes;
    /** Set after a packet that is too long: its payload and all later bytes are discarded. */
    private boolean discarding;
    /** While set, bytes are kept without being decoded. */
    private boolean paused;

    /** Whether bytes are being decoded now, so that decoding continues by itself after a pause. */
    private boolean reading;

    private ChannelHandlerContext context;

    /** @param maxPayloadBytes maximum length of a payload; nothing is decoded after a longer one */
    public PacketDecoder(int maxPayloadBytes) {
        this.maxPayloadBytes = maxPayloadBytes;
    }

    /** Returns whether part of a packet has arrived. */
    public boolean hasPartialPacket() {
        return actualReadableBytes() > 0;
    }

    /** Returns the size of the packets of which a part or all has arrived but not been decoded. */
    public int undecodedBytes() {
        if (actualReadableBytes() < Packets.HEADER_BYTES) {
            return actualReadableBytes();
        }
        ByteBuf buffer = internalBuffer();
        int firstPacketBytes = Packets.HEADER_BYTES + buffer.getUnsignedMediumLE(buffer.readerIndex());
        return Math.max(firstPacketBytes, actualReadableBytes());
    }

    /** Stops the decoding of further packets, or continues with those that have arrived meanwhile. */
    public void setPaused(boolean pause) {
        boolean resumes = paused && !pause;
        paused = pause;
        if (resumes && !reading && hasPartialPacket()) {
            context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        reading = true;
        try {
            super.channelRead(ctx, message);
        } finally {
            reading = false;
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> frames) {
        if (discarding) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (paused || in.readableBytes() < Packets.HEADER_BYTES) {
            return;
        }
        int length = in.getUnsignedMediumLE(in.readerIndex());
        if (length > maxPayloadBytes) {
            discarding = true;
            throw new TooLongFrameException("packet of " + length + " bytes, maximum " + maxPayloadBytes);
        }
        if (in.readableBytes() >= Packets.HEADER_BYTES + length) {
            frames.add(in.readRetainedSlice(Packets.HEADER_BYTES + length));
        }
    }
}
