package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderException;

/** Determines the {@link PacketRole} of each packet of one engine's reply; must be given all in order. */
public final class ReplyTracker {
    private enum State {
        FIRST_PACKET,
        DEFINITIONS,
        COLUMNS,
        ROWS
    }

    /** First byte of a reply that asks the client for a local file (LOAD DATA LOCAL). */
    private static final int LOCAL_INFILE = 0xfb;

    private static final int SERVER_MORE_RESULTS_EXISTS = 0x0008;
    private static final int SERVER_STATUS_IN_TRANS = 0x0001;
    private static final int STATUS_UNKNOWN = -1;
    /** Bytes of the statement id in the reply to COM_STMT_PREPARE. */
    private static final int STATEMENT_ID_BYTES = 4;
    /** Offset of the status in an EOF packet, after the type and the count of warnings. */
    private static final int EOF_STATUS_OFFSET = 3;

    private final boolean prepareReply;
    private State state = State.FIRST_PACKET;
    /** Number of definition lists left in a reply to COM_STMT_PREPARE; an EOF packet ends each of them. */
    private int remainingDefinitionLists;

    private int status = STATUS_UNKNOWN;
    private boolean rowContinues;

    /**
     * Creates a tracker that expects the first packet of a reply.
     *
     * @param prepareReply whether it is a reply to COM_STMT_PREPARE, which has its own format
     */
    public ReplyTracker(boolean prepareReply) {
        this.prepareReply = prepareReply;
    }

    /** Returns whether the engine reports an open transaction, or autocommit off. */
    public boolean inTransaction() {
        int transactionFlags = status & (SERVER_STATUS_IN_TRANS | Packets.SERVER_STATUS_AUTOCOMMIT);
        return status != STATUS_UNKNOWN && transactionFlags != Packets.SERVER_STATUS_AUTOCOMMIT;
    }

    /**
     * Returns the role of the reply's next packet. Does not move the frame's reader index.
     *
     * @throws DecoderException if the packet violates the protocol or belongs to a reply that was not
     *     requested
     */
    public PacketRole classify(ByteBuf frame) {
        if (rowContinues) {
            return row(frame);
        }
        int type = Packets.firstByte(frame);
        if (type < 0) {
            throw new DecoderException("empty packet in a reply");
        }
        try {
            return switch (state) {
                case FIRST_PACKET -> firstPacket(frame, type);
                case DEFINITIONS -> definitions(frame);
                case COLUMNS -> columns(frame, type);
                case ROWS -> rows(frame, type);
            };
        } catch (IndexOutOfBoundsException e) {
            throw new DecoderException("truncated packet in a reply", e);
        }
    }

    private PacketRole firstPacket(ByteBuf frame, int type) {
        if (type == Packets.ERR) {
            return PacketRole.LAST_ERROR;
        }
        if (type == Packets.OK) {
            ByteBuf payload = Packets.payload(frame).skipBytes(1);
            return prepareReply ? prepareOk(payload) : ok(payload);
        }
        if (prepareReply || type == LOCAL_INFILE || type == Packets.EOF) {
            throw new DecoderException("unexpected first byte of a reply: " + type);
        }
        state = State.COLUMNS;
        return PacketRole.HEAD;
    }

    private PacketRole prepareOk(ByteBuf payload) {
        int columnCount = payload.skipBytes(STATEMENT_ID_BYTES).readUnsignedShortLE();
        int parameterCount = payload.readUnsignedShortLE();
        remainingDefinitionLists = (columnCount > 0 ? 1 : 0) + (parameterCount > 0 ? 1 : 0);
        state = State.DEFINITIONS;
        return remainingDefinitionLists == 0 ? PacketRole.LAST_OK : PacketRole.HEAD;
    }

    private PacketRole ok(ByteBuf payload) {
        // Skips the affected rows and the last inserted id.
        Packets.readLengthEncodedInt(payload);
        Packets.readLengthEncodedInt(payload);
        setStatus(payload.readUnsignedShortLE());
        return PacketRole.LAST_OK;
    }

    private PacketRole definitions(ByteBuf frame) {
        if (Packets.isEof(frame)) {
            remainingDefinitionLists--;
            return remainingDefinitionLists == 0 ? PacketRole.LAST_OK : PacketRole.HEAD;
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

    /** A packet of the maximum length is continued by the next one, which may be empty. */
    private PacketRole row(ByteBuf frame) {
        rowContinues = Packets.payloadLength(frame) == Packets.MAX_PAYLOAD_BYTES;
        return rowContinues ? PacketRole.ROW_PART : PacketRole.ROW;
    }

    private void setStatus(int reported) {
        status = reported;
        if ((reported & SERVER_MORE_RESULTS_EXISTS) != 0) {
            throw new DecoderException("reply has more than one result");
        }
    }
}
