package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderException;

/** Follows the packets of one reply and knows which is the last. */
final class ReplyTracker {
    /** What a packet is to the reply. */
    enum Place {
        /** Before the rows. */
        HEAD,
        /** The last before the rows. */
        HEAD_END,
        /** A row, or the last part of one. */
        ROW,
        /** A part of a row that goes on in the next packet. */
        ROW_PART,
        LAST_OK,
        LAST_ERROR;

        boolean isLast() {
            return this == LAST_OK || this == LAST_ERROR;
        }
    }

    private enum State {
        FIRST,
        PREPARED,
        COLUMNS,
        ROWS
    }

    private static final int LOCAL_FILE = 0xfb;
    private static final int MORE_RESULTS = 0x0008;
    private static final int IN_TRANSACTION = 0x0001;
    private static final int UNTOLD = -1;

    private final boolean prepare;
    private State state = State.FIRST;
    private int blocks;
    private int status = UNTOLD;
    private boolean amidRow;

    /** @param prepare whether the reply is to COM_STMT_PREPARE, which has a form of its own */
    ReplyTracker(boolean prepare) {
        this.prepare = prepare;
    }

    /** Returns whether the engine says that it is amid a transaction, or that statements begin one. */
    boolean inTransaction() {
        return status != UNTOLD && (status & (IN_TRANSACTION | Packets.AUTOCOMMIT)) != Packets.AUTOCOMMIT;
    }

    Place take(ByteBuf frame) {
        if (amidRow) {
            return row(frame);
        }
        int first = Packets.first(frame);
        if (first < 0) {
            throw new DecoderException("empty packet in a reply");
        }
        try {
            return switch (state) {
                case FIRST -> begin(frame, first);
                case PREPARED -> prepared(frame);
                case COLUMNS -> columns(frame, first);
                case ROWS -> rows(frame, first);
            };
        } catch (IndexOutOfBoundsException e) {
            throw new DecoderException("packet of a reply ends early");
        }
    }

    private Place begin(ByteBuf frame, int first) {
        if (first == Packets.ERR) {
            return Place.LAST_ERROR;
        }
        ByteBuf payload = Packets.payload(frame).skipBytes(1);
        if (first == Packets.OK && prepare) {
            int columns = payload.skipBytes(4).readUnsignedShortLE();
            int params = payload.readUnsignedShortLE();
            blocks = (columns > 0 ? 1 : 0) + (params > 0 ? 1 : 0);
            state = State.PREPARED;
            return blocks == 0 ? Place.LAST_OK : Place.HEAD;
        }
        if (first == Packets.OK) {
            Packets.lengthEncoded(payload);
            Packets.lengthEncoded(payload);
            status(payload.readUnsignedShortLE());
            return Place.LAST_OK;
        }
        if (first == LOCAL_FILE || first == Packets.EOF || prepare) {
            throw new DecoderException("reply begins with " + first);
        }
        state = State.COLUMNS;
        return Place.HEAD;
    }

    private Place prepared(ByteBuf frame) {
        return Packets.isEof(frame) && --blocks == 0 ? Place.LAST_OK : Place.HEAD;
    }

    private Place columns(ByteBuf frame, int first) {
        if (first == Packets.ERR) {
            return Place.LAST_ERROR;
        }
        if (Packets.isEof(frame)) {
            state = State.ROWS;
            return Place.HEAD_END;
        }
        return Place.HEAD;
    }

    private Place rows(ByteBuf frame, int first) {
        if (first == Packets.ERR) {
            return Place.LAST_ERROR;
        }
        if (!Packets.isEof(frame)) {
            return row(frame);
        }
        status(Packets.payload(frame).skipBytes(3).readUnsignedShortLE());
        return Place.LAST_OK;
    }

    /** A packet as long as packets get is continued in the next, which may be empty. */
    private Place row(ByteBuf frame) {
        amidRow = Packets.size(frame) == Packets.LONGEST;
        return amidRow ? Place.ROW_PART : Place.ROW;
    }

    private void status(int told) {
        status = told;
        if ((told & MORE_RESULTS) != 0) {
            throw new DecoderException("more than one result");
        }
    }
}
