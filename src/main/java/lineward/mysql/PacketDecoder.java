package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.TooLongFrameException;
import java.util.List;

/** Cuts a connection's bytes into whole frames with heads; an over-long one is told before it is read. */
final class PacketDecoder extends ByteToMessageDecoder {
    private final int most;
    private boolean broken;

    /** @param most bytes of a payload */
    PacketDecoder(int most) {
        this.most = most;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        if (broken) {
            in.skipBytes(in.readableBytes());
            return;
        }
        if (in.readableBytes() < Packets.HEAD) {
            return;
        }
        int length = in.getUnsignedMediumLE(in.readerIndex());
        if (length > most) {
            broken = true;
            throw new TooLongFrameException("packet of " + length + " bytes");
        }
        if (in.readableBytes() >= Packets.HEAD + length) {
            out.add(in.readRetainedSlice(Packets.HEAD + length));
        }
    }
}
