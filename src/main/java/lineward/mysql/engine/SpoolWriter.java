package lineward.mysql.engine;

import io.netty.buffer.ByteBuf;
import lineward.mysql.wire.PacketRole;
import lineward.mysql.wire.Packets;
import lineward.spool.SpooledResult;

/** Writes the packets of a reply to the spool. Rows never share a block with the packets around them. */
final class SpoolWriter {
    private final SpooledResult result;

    SpoolWriter(SpooledResult result) {
        this.result = result;
    }

    SpooledResult result() {
        return result;
    }

    /**
     * Writes the next bytes of the source.
     *
     * @param length length of one packet, or of all packets before the rows
     * @param role role of the packet; HEAD_END for all packets before the rows
     */
    void write(ByteBuf source, int length, PacketRole role) {
        if (role.isLast()) {
            result.endBlock();
        }
        int offset = result.reserve(length);
        source.readBytes(result.buffer(), offset, length);
        boolean endsRow = role == PacketRole.ROW;
        result.commit(length, endsRow, role == PacketRole.ROW_PART);
        if (role == PacketRole.HEAD_END) {
            result.endBlock();
        }
    }

    /**
     * Writes packets that were buffered, with the block boundaries that they would have if each had been
     * written when it was received.
     */
    void writeBuffered(ByteBuf packets, int headBytes, PacketRole lastRole) {
        write(packets, headBytes, PacketRole.HEAD_END);
        while (packets.isReadable()) {
            int length = Packets.HEADER_BYTES + packets.getUnsignedMediumLE(packets.readerIndex());
            boolean isLast = length == packets.readableBytes();
            write(packets, length, isLast ? lastRole : rowRole(length));
        }
    }

    private static PacketRole rowRole(int length) {
        boolean continued = length == Packets.HEADER_BYTES + Packets.MAX_PAYLOAD_BYTES;
        return continued ? PacketRole.ROW_PART : PacketRole.ROW;
    }
}
