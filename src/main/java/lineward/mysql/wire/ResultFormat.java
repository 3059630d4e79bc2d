package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * The format of the results that one client receives. Engines send an EOF packet after the columns and
 * another one after the rows. For a client with CLIENT_DEPRECATE_EOF the first one is left out, which lowers
 * the following sequence numbers by one, and the second one is an OK packet whose first byte is that of EOF.
 */
public enum ResultFormat {
    /** Results have EOF packets, as engines send them. */
    EOF_PACKETS,
    /** The client has CLIENT_DEPRECATE_EOF. */
    DEPRECATE_EOF;

    private static final int EOF_FRAME_BYTES = Packets.HEADER_BYTES + 5;
    private static final int RESULT_END_PAYLOAD_BYTES = 7;
    private static final int RESULT_END_FRAME_BYTES = Packets.HEADER_BYTES + RESULT_END_PAYLOAD_BYTES;
    private static final int EOF_WARNINGS_OFFSET = Packets.HEADER_BYTES + 1;
    private static final int EOF_STATUS_OFFSET = Packets.HEADER_BYTES + 3;
    private static final int SEQUENCE_OFFSET = Packets.HEADER_BYTES - 1;

    /** Returns the format for a client with these capabilities. */
    public static ResultFormat of(int capabilities) {
        return (capabilities & Handshake.DEPRECATE_EOF) != 0 ? DEPRECATE_EOF : EOF_PACKETS;
    }

    /** Returns the packet that follows the rows, or the columns in a reply that opens a cursor. */
    public ByteBuf eofOrOk(ByteBufAllocator alloc, int sequence, int statusFlags) {
        return this == EOF_PACKETS
                ? Packets.eof(alloc, sequence, statusFlags)
                : writeResultEnd(
                        alloc.buffer(RESULT_END_FRAME_BYTES),
                        sequence,
                        0,
                        Packets.SERVER_STATUS_AUTOCOMMIT | statusFlags);
    }

    /** Writes the OK packet that replaces the EOF packet after the rows. */
    private static ByteBuf writeResultEnd(ByteBuf target, int sequence, int warnings, int status) {
        return target.writeMediumLE(RESULT_END_PAYLOAD_BYTES)
                .writeByte(sequence)
                .writeByte(Packets.EOF)
                .writeShortLE(0)
                .writeShortLE(status)
                .writeShortLE(warnings);
    }

    /**
     * Converts a complete reply of an engine to this format, and takes over the reply's reference.
     *
     * @param prepareReply whether the reply is a successful one to COM_STMT_PREPARE
     */
    public ByteBuf convert(ByteBufAllocator alloc, ByteBuf reply, boolean prepareReply) {
        int firstByte = Packets.firstByte(reply);
        boolean withoutColumns = firstByte == Packets.ERR || (firstByte == Packets.OK && !prepareReply);
        if (this == EOF_PACKETS || withoutColumns) {
            return reply;
        }
        ByteBuf converted = alloc.buffer(reply.readableBytes() + RESULT_END_PAYLOAD_BYTES);
        try {
            convertFrames(reply, converted, prepareReply);
            return converted;
        } finally {
            reply.release();
        }
    }

    private static void convertFrames(ByteBuf reply, ByteBuf converted, boolean prepareReply) {
        int sequence = Packets.sequence(reply);
        boolean afterColumns = false;
        while (reply.isReadable()) {
            int payloadBytes = reply.getUnsignedMediumLE(reply.readerIndex());
            ByteBuf frame = reply.readSlice(Packets.HEADER_BYTES + payloadBytes);
            if (!Packets.isEof(frame)) {
                converted.writeMediumLE(payloadBytes).writeByte(sequence).writeBytes(Packets.payload(frame));
                sequence++;
            } else if (afterColumns && !prepareReply) {
                convertResultEnd(frame, converted, sequence);
            } else {
                afterColumns = true;
            }
        }
    }

    private static void convertResultEnd(ByteBuf eof, ByteBuf converted, int sequence) {
        int warnings = eof.getUnsignedShortLE(eof.readerIndex() + EOF_WARNINGS_OFFSET);
        int status = eof.getUnsignedShortLE(eof.readerIndex() + EOF_STATUS_OFFSET);
        writeResultEnd(converted, sequence, warnings, status);
    }

    /**
     * Returns the columns of a spooled result for a reply that also contains rows.
     *
     * @param head the packets that precede the rows, as the engine sent them
     */
    public ByteBuf convertColumns(byte[] head) {
        int length = this == EOF_PACKETS ? head.length : head.length - EOF_FRAME_BYTES;
        return Unpooled.wrappedBuffer(head, 0, length);
    }

    /**
     * Returns the columns of a spooled result for a reply that opens a cursor, see {@link #convertColumns}.
     */
    public ByteBuf convertCursorColumns(ByteBufAllocator alloc, byte[] head) {
        int eofOffset = head.length - EOF_FRAME_BYTES;
        int sequence = head[eofOffset + SEQUENCE_OFFSET] & 0xff;
        ByteBuf columns = Unpooled.wrappedBuffer(head, 0, eofOffset);
        return Unpooled.wrappedBuffer(columns, eofOrOk(alloc, sequence, Packets.SERVER_STATUS_CURSOR_EXISTS));
    }

    /** Converts rows of a spooled result. Does not change the array, because other readers share it. */
    public ByteBuf convertRows(byte[] rows) {
        if (this == EOF_PACKETS) {
            return Unpooled.wrappedBuffer(rows);
        }
        byte[] renumbered = rows.clone();
        for (int offset = 0; offset < renumbered.length; offset += Packets.frameLength(renumbered, offset)) {
            renumbered[offset + SEQUENCE_OFFSET]--;
        }
        return Unpooled.wrappedBuffer(renumbered);
    }

    /** Converts the last packet of a spooled result. */
    public ByteBuf convertLastPacket(ByteBufAllocator alloc, byte[] packet) {
        ByteBuf last = Unpooled.wrappedBuffer(packet);
        if (this == EOF_PACKETS || !Packets.isEof(last)) {
            return last;
        }
        ByteBuf converted = alloc.buffer(RESULT_END_FRAME_BYTES);
        convertResultEnd(last, converted, Packets.sequence(last) - 1);
        return converted;
    }

    /** Returns the sequence number of the packet that follows these packets of a spooled result. */
    public int sequenceAfter(byte[] packets) {
        return Packets.sequenceAfter(packets) - (this == EOF_PACKETS ? 0 : 1);
    }
}
