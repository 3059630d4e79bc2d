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
    void write(ByteBuf source, int length, ReplyTracker.Place place) {
        if (place.isLast()) {
            result.seal();
        }
        int offset = result.reserve(length);
        source.readBytes(result.buffer(), offset, length);
        result.took(length, place == ReplyTracker.Place.ROW, place == ReplyTracker.Place.ROW_PART);
        if (place == ReplyTracker.Place.HEAD_END) {
            result.seal();
        }
    }

    /** Writes packets that were buffered, in the blocks in which they would have come one by one. */
    void writeBuffered(ByteBuf packets, int headBytes, ReplyTracker.Place lastPlace) {
        write(packets, headBytes, ReplyTracker.Place.HEAD_END);
        while (packets.isReadable()) {
            int length = Packets.HEAD + packets.getUnsignedMediumLE(packets.readerIndex());
            boolean isLast = length == packets.readableBytes();
            write(packets, length, isLast ? lastPlace : placeOfRow(length));
        }
    }

    private static ReplyTracker.Place placeOfRow(int length) {
        boolean continued = length == Packets.HEAD + Packets.LONGEST;
        return continued ? ReplyTracker.Place.ROW_PART : ReplyTracker.Place.ROW;
    }
}
