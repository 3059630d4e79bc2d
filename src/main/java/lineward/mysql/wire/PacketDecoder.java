package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
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

    /** @param maxPayloadBytes maximum length of a payload; nothing is decoded after a longer one */
    public PacketDecoder(int maxPayloadBytes) {
        this.maxPayloadBytes = maxPayloadBytes;
    }

    /** Returns whether part of a packet has arrived. */
    public boolean hasPartialPacket() {
        return actualReadableBytes() > 0;
    }

    /** Returns the size of the packet of which a part has arrived, with its header; 0 if there is none. */
    public int partialPacketBytes() {
        if (actualReadableBytes() < Packets.HEADER_BYTES) {
            return actualReadableBytes();
        }
        ByteBuf buffer = internalBuffer();
        return Packets.HEADER_BYTES + buffer.getUnsignedMediumLE(buffer.readerIndex());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> frames) {
        if (discarding) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Packets.HEADER_BYTES) {
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
