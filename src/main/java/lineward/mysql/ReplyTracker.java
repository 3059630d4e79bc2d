package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderException;

/** Follows the packets of one reply of an engine and tells which is the last. */
final class ReplyTracker {
    /** What a packet is to the reply. */
    enum PacketRole {
        /** A packet before the rows. */
        HEAD,
        /** The last packet before the rows. */
        HEAD_END,
        /** A row, or the last part of one. */
        ROW,
        /** A part of a row that continues in the next packet. */
        ROW_PART,
        /** The last packet of a reply that succeeded. */
        LAST_OK,
        /** An error, which ends the reply. */
        LAST_ERROR;

        boolean isLast() {
            return this == LAST_OK || this == LAST_ERROR;
        }

        /** Returns whether rows may end with, or before, this packet and the reply is no error. */
        boolean mayBeBehindRows() {
            return this == ROW || this == ROW_PART || this == LAST_OK;
        }
    }

    private enum State {
        FIRST_PACKET,
        PREPARED,
        COLUMNS,
        ROWS
    }

    /** First byte of a reply by which the engine requests a file of its client. */
    private static final int LOCAL_INFILE = 0xfb;

    private static final int SERVER_MORE_RESULTS_EXISTS = 0x0008;
    private static final int SERVER_STATUS_IN_TRANS = 0x0001;
    private static final int STATUS_UNKNOWN = -1;
    /** Bytes of the statement's id in the reply to a preparation. */
    private static final int STATEMENT_ID_BYTES = 4;
    /** Bytes of an EOF packet before its status: the type and the count of warnings. */
    private static final int EOF_STATUS_OFFSET = 3;

    private final boolean prepare;
    private State state = State.FIRST_PACKET;
    /** Blocks of definitions, each ended by an EOF packet, that a preparation's reply still has. */
    private int definitionBlocks;

    private int status = STATUS_UNKNOWN;
    private boolean rowContinues;

    /**
     * A tracker of a reply that has not begun.
     *
     * @param prepare whether the reply is to COM_STMT_PREPARE, which has a form of its own
     */
    ReplyTracker(boolean prepare) {
        this.prepare = prepare;
    }

    /** Returns whether the engine reports a transaction, or that the next statement begins one. */
    boolean inTransaction() {
        int transactionFlags = status & (SERVER_STATUS_IN_TRANS | Packets.AUTOCOMMIT);
        return status != STATUS_UNKNOWN && transactionFlags != Packets.AUTOCOMMIT;
    }

    /**
     * Returns the place of the reply's next packet, which stays unread.
     *
     * @throws DecoderException if the reply breaks the protocol or is of a kind that was not requested
     */
    PacketRole classify(ByteBuf frame) {
        if (rowContinues) {
            return row(frame);
        }
        int type = Packets.first(frame);
        if (type < 0) {
            throw new DecoderException("empty packet in a reply");
        }
        try {
            return switch (state) {
                case FIRST_PACKET -> firstPacket(frame, type);
                case PREPARED -> prepared(frame);
                case COLUMNS -> columns(frame, type);
                case ROWS -> rows(frame, type);
            };
        } catch (IndexOutOfBoundsException e) {
            throw new DecoderException("packet of a reply ends early", e);
        }
    }

    private PacketRole firstPacket(ByteBuf frame, int type) {
        if (type == Packets.ERR) {
            return PacketRole.LAST_ERROR;
        }
        if (type == Packets.OK) {
            ByteBuf payload = Packets.payload(frame).skipBytes(1);
            return prepare ? prepareOk(payload) : ok(payload);
        }
        if (prepare || type == LOCAL_INFILE || type == Packets.EOF) {
            throw new DecoderException("reply begins with " + type);
        }
        state = State.COLUMNS;
        return PacketRole.HEAD;
    }

    private PacketRole prepareOk(ByteBuf payload) {
        int columnCount = payload.skipBytes(STATEMENT_ID_BYTES).readUnsignedShortLE();
        int parameterCount = payload.readUnsignedShortLE();
        definitionBlocks = (columnCount > 0 ? 1 : 0) + (parameterCount > 0 ? 1 : 0);
        state = State.PREPARED;
        return definitionBlocks == 0 ? PacketRole.LAST_OK : PacketRole.HEAD;
    }

    private PacketRole ok(ByteBuf payload) {
        // Affected rows, then the last inserted id.
        Packets.lengthEncoded(payload);
        Packets.lengthEncoded(payload);
        setStatus(payload.readUnsignedShortLE());
        return PacketRole.LAST_OK;
    }

    private PacketRole prepared(ByteBuf frame) {
        if (Packets.isEof(frame)) {
            definitionBlocks--;
            return definitionBlocks == 0 ? PacketRole.LAST_OK : PacketRole.HEAD;
        }
        return PacketRole.HEAD;
    }

    private PacketRole columns(ByteBuf frame, int type) {
        if (type == Packets.ERR) {
            return PacketRole.LAST_ERROR;
        }
        if (Packets.isEof(frame)) {
            state = State.ROWS;
            return PacketRole.HEAD_END;
        }
        return PacketRole.HEAD;
    }

    private PacketRole rows(ByteBuf frame, int type) {
        if (type == Packets.ERR) {
            return PacketRole.LAST_ERROR;
        }
        if (!Packets.isEof(frame)) {
            return row(frame);
        }
        setStatus(Packets.payload(frame).skipBytes(EOF_STATUS_OFFSET).readUnsignedShortLE());
        return PacketRole.LAST_OK;
    }

    /** A packet of the greatest length is continued in the next, which may be empty. */
    private PacketRole row(ByteBuf frame) {
        rowContinues = Packets.size(frame) == Packets.LONGEST;
        return rowContinues ? PacketRole.ROW_PART : PacketRole.ROW;
    }

    private void setStatus(int reported) {
        status = reported;
        if ((reported & SERVER_MORE_RESULTS_EXISTS) != 0) {
            throw new DecoderException("more than one result");
        }
    }
}
