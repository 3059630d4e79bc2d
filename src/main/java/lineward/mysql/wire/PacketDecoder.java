package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/**
 * Splits a connection's bytes into packets, each with its header. The length in the header is checked before
 * the payload is buffered.
 */
public final class PacketDecoder extends ByteToMessageDecoder {
    private final int maxPayloadBytes;
    /** Set after a packet that was too long: packet boundaries are unknown from then on. */
    private boolean failed;

    /** @param maxPayloadBytes largest payload of a packet */
    public PacketDecoder(int maxPayloadBytes) {
        this.maxPayloadBytes = maxPayloadBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> packets) {
        if (failed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Packets.HEADER_BYTES) {
            return;
        }
        int length = in.getUnsignedMediumLE(in.readerIndex());
        if (length > maxPayloadBytes) {
            failed = true;
            throw new TooLongFrameException("packet of " + length + " bytes");
        }
        if (in.readableBytes() >= Packets.HEADER_BYTES + length) {
            packets.add(in.readRetainedSlice(Packets.HEADER_BYTES + length));
        }
    }
}
