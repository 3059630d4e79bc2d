package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Splits a connection's bytes into packets with heads; one that is too long fails before it is read. */
final class PacketDecoder extends ByteToMessageDecoder {
    private final int maxPayloadBytes;
    /** Set behind a packet that was too long: the bytes that follow have no packet boundaries. */
    private boolean failed;

    /** @param maxPayloadBytes largest payload of a packet */
    PacketDecoder(int maxPayloadBytes) {
        this.maxPayloadBytes = maxPayloadBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (failed) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Packets.HEAD) {
            return;
        }
        int length = in.getUnsignedMediumLE(in.readerIndex());
        if (length > maxPayloadBytes) {
            failed = true;
            throw new TooLongFrameException("packet of " + length + " bytes");
        }
        if (in.readableBytes() >= Packets.HEAD + length) {
            out.add(in.readRetainedSlice(Packets.HEAD + length));
        }
    }
}
