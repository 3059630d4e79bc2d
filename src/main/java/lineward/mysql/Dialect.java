package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;

/**
 * How a client wants results to be framed. Engines send an EOF packet behind the columns and one behind the
 * rows; a client that has agreed on CLIENT_DEPRECATE_EOF gets none behind the columns, and an OK packet that
 * begins with EOF's byte behind the rows. All packets behind the one left out have another number.
 */
enum Dialect {
    /** As engines send it: bytes pass as they came. */
    PLAIN,
    /** CLIENT_DEPRECATE_EOF. */
    SHORT;

    private static final int EOF_FRAME = Packets.HEAD + 5;
    private static final int ROW_END = 7;

    static Dialect of(int capabilities) {
        return (capabilities & Handshake.DEPRECATE_EOF) != 0 ? SHORT : PLAIN;
    }

    /** Returns the packet behind the rows, or behind the columns where a cursor is open. */
    ByteBuf end(ByteBufAllocator alloc, int sequence, int status) {
        return this == PLAIN
                ? Packets.eof(alloc, sequence, status)
                : end(alloc.buffer(Packets.HEAD + ROW_END), sequence, 0, Packets.AUTOCOMMIT | status);
    }

    private static ByteBuf end(ByteBuf out, int sequence, int warnings, int status) {
        return out.writeMediumLE(ROW_END)
                .writeByte(sequence)
                .writeByte(Packets.EOF)
                .writeShortLE(0)
                .writeShortLE(status)
                .writeShortLE(warnings);
    }

    /** Returns a whole held reply as the client wants it; takes the reply over. */
    ByteBuf reframe(ByteBufAllocator alloc, ByteBuf reply, boolean prepared) {
        int first = Packets.first(reply);
        if (this == PLAIN || first == Packets.ERR || (first == Packets.OK && !prepared)) {
            return reply;
        }
        ByteBuf out = alloc.buffer(reply.readableBytes() + ROW_END);
        try {
            int sequence = Packets.sequence(reply);
            int ends = 0;
            while (reply.isReadable()) {
                int length = Packets.HEAD + reply.getUnsignedMediumLE(reply.readerIndex());
                ByteBuf frame = reply.readSlice(length);
                // Behind the columns EOF can only be the one behind the rows.
                boolean end = Packets.isEof(frame);
                if (!end) {
                    out.writeMediumLE(length - Packets.HEAD)
                            .writeByte(sequence++)
                            .writeBytes(frame, frame.readerIndex() + Packets.HEAD, length - Packets.HEAD);
                } else if (++ends == 2 && !prepared) {
                    ByteBuf eof = Packets.payload(frame).skipBytes(1);
                    int warnings = eof.readUnsignedShortLE();
                    end(out, sequence, warnings, eof.readUnsignedShortLE());
                }
            }
            return out;
        } finally {
            reply.release();
        }
    }

    /** Returns columns as they stand in the spool, as the client wants them before rows. */
    ByteBuf columns(byte[] head) {
        return Unpooled.wrappedBuffer(head, 0, this == PLAIN ? head.length : head.length - EOF_FRAME);
    }

    /** Returns columns as they stand in the spool, as the client wants them where a cursor is open. */
    ByteBuf cursor(ByteBufAllocator alloc, byte[] head) {
        int sequence = head[head.length - EOF_FRAME + Packets.HEAD - 1] & 0xff;
        ByteBuf columns = Unpooled.wrappedBuffer(head, 0, head.length - EOF_FRAME);
        return Unpooled.wrappedBuffer(columns, end(alloc, sequence, Packets.CURSOR_EXISTS));
    }

    /**
     * Returns rows as they stand in the spool; other readers may see the same bytes, which stay as they are.
     */
    ByteBuf rows(byte[] rows) {
        if (this == PLAIN) {
            return Unpooled.wrappedBuffer(rows);
        }
        byte[] out = rows.clone();
        for (int at = 0; at < out.length; at += Packets.length(out, at)) {
            out[at + Packets.HEAD - 1]--;
        }
        return Unpooled.wrappedBuffer(out);
    }

    /** Returns what stands behind the rows in the spool. */
    ByteBuf tail(ByteBufAllocator alloc, byte[] tail) {
        ByteBuf eof = Unpooled.wrappedBuffer(tail);
        if (this == PLAIN || !Packets.isEof(eof)) {
            return eof;
        }
        int warnings = eof.getUnsignedShortLE(Packets.HEAD + 1);
        int status = eof.getUnsignedShortLE(Packets.HEAD + 3);
        return end(alloc.buffer(Packets.HEAD + ROW_END), Packets.sequence(eof) - 1, warnings, status);
    }

    /** Returns the number of the first packet behind the columns. */
    int behindColumns(byte[] head) {
        return ReplyPump.sequenceBehind(head) - (this == PLAIN ? 0 : 1);
    }
}
