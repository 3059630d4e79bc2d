package lineward.mysql;

import io.netty.buffer.ByteBuf;
import lineward.spool.SpooledResult;

/** Writes the packets of one reply to the spool, in blocks that end where the rows begin or end. */
final class SpoolWriter {
    private final SpooledResult result;

    SpoolWriter(SpooledResult result) {
        this.result = result;
    }

    SpooledResult result() {
        return result;
    }

    /** Writes the next bytes of the source, which are a packet, or all packets that come before the rows. */
    void write(ByteBuf source, int length, ReplyTracker.PacketRole place) {
        if (place.isLast()) {
            result.seal();
        }
        int offset = result.reserve(length);
        source.readBytes(result.buffer(), offset, length);
        boolean row = place == ReplyTracker.PacketRole.ROW;
        result.commit(length, row, place == ReplyTracker.PacketRole.ROW_PART);
        if (place == ReplyTracker.PacketRole.HEAD_END) {
            result.seal();
        }
    }

    /** Writes packets that were buffered, in the blocks in which they would have come one by one. */
    void writeBuffered(ByteBuf packets, int headBytes, ReplyTracker.PacketRole lastPlace) {
        write(packets, headBytes, ReplyTracker.PacketRole.HEAD_END);
        while (packets.isReadable()) {
            int length = Packets.HEAD + packets.getUnsignedMediumLE(packets.readerIndex());
            boolean isLast = length == packets.readableBytes();
            write(packets, length, isLast ? lastPlace : placeOfRow(length));
        }
    }

    private static ReplyTracker.PacketRole placeOfRow(int length) {
        boolean continued = length == Packets.HEAD + Packets.LONGEST;
        return continued ? ReplyTracker.PacketRole.ROW_PART : ReplyTracker.PacketRole.ROW;
    }
}
