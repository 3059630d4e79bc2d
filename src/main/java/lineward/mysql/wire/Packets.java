package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;

/** Encodes packets and reads fields of received ones. A frame is one complete packet with its header. */
public final class Packets {
    /** Bytes of a header: three for the payload's length, one for the sequence number. */
    public static final int HEADER_BYTES = 4;

    public static final int OK = 0x00;
    public static final int EOF = 0xfe;
    public static final int ERR = 0xff;
    public static final int SERVER_STATUS_AUTOCOMMIT = 0x0002;
    public static final int SERVER_STATUS_CURSOR_EXISTS = 0x0040;
    public static final int SERVER_STATUS_LAST_ROW_SENT = 0x0080;
    /** Returned as the error number of an error packet that has none. */
    public static final int UNKNOWN_ERROR = 0;
    /** Returned as the first byte of an empty payload. */
    public static final int EMPTY = -1;
    /** Maximum length of a payload; a packet of this length is continued by the next one. */
    public static final int MAX_PAYLOAD_BYTES = 0xffffff;
    /** Minimum payload of a row whose first byte is that of EOF; a shorter payload is an EOF packet. */
    private static final int MIN_ROW_BYTES_AFTER_EOF_BYTE = 9;

    /** First bytes of length-encoded integers whose value follows in 2, 3 or 8 bytes. */
    private static final int TWO_BYTES_FOLLOW = 0xfc;

    private static final int THREE_BYTES_FOLLOW = 0xfd;
    private static final int EIGHT_BYTES_FOLLOW = 0xfe;
    /** Largest value of a length-encoded integer that takes a single byte. */
    private static final int MAX_ONE_BYTE_INT = 250;
    /** Bytes of the type and the error number at the start of an error packet's payload. */
    private static final int ERROR_HEAD_BYTES = 3;

    private Packets() {}

    /** Starts a frame; {@link #finish} sets its length once it is complete. */
    public static ByteBuf begin(ByteBufAllocator alloc, int sequence) {
        return alloc.buffer().writeMediumLE(0).writeByte(sequence);
    }

    /** Completes a frame: sets the length in its header. */
    public static ByteBuf finish(ByteBuf frame) {
        return frame.setMediumLE(0, frame.readableBytes() - HEADER_BYTES);
    }

    /** Returns an OK packet. */
    public static ByteBuf ok(ByteBufAllocator alloc, int sequence) {
        return finish(begin(alloc, sequence)
                .writeByte(OK)
                .writeByte(0)
                .writeByte(0)
                .writeShortLE(SERVER_STATUS_AUTOCOMMIT)
                .writeShortLE(0));
    }

    /** Returns an EOF packet with AUTOCOMMIT and these additional status flags. */
    public static ByteBuf eof(ByteBufAllocator alloc, int sequence, int statusFlags) {
        return finish(begin(alloc, sequence)
                .writeByte(EOF)
                .writeShortLE(0)
                .writeShortLE(SERVER_STATUS_AUTOCOMMIT | statusFlags));
    }

    /** Returns the length, including the header, of the packet at this offset. */
    public static int frameLength(byte[] packets, int offset) {
        int low = packets[offset] & 0xff;
        int middle = packets[offset + 1] & 0xff;
        int high = packets[offset + 2] & 0xff;
        return HEADER_BYTES + (low | (middle << 8) | (high << 16));
    }

    /** Returns an error packet. */
    public static ByteBuf error(ByteBufAllocator alloc, int sequence, SqlError error) {
        ByteBuf packet = begin(alloc, sequence).writeByte(ERR).writeShortLE(error.code());
        packet.writeCharSequence("#" + error.sqlState() + error.message(), StandardCharsets.UTF_8);
        return finish(packet);
    }

    /** Returns the packet of a command, with a copy of the arguments; the caller must still release them. */
    public static ByteBuf command(ByteBufAllocator alloc, int command, ByteBuf arguments) {
        ByteBuf frame = begin(alloc, 0).writeByte(command);
        return finish(frame.writeBytes(arguments, arguments.readerIndex(), arguments.readableBytes()));
    }

    /** Returns the sequence number of a frame. */
    public static int sequence(ByteBuf frame) {
        return frame.getUnsignedByte(frame.readerIndex() + HEADER_BYTES - 1);
    }

    /** Returns the payload's first byte, which identifies the packet's type, or {@link #EMPTY}. */
    public static int firstByte(ByteBuf frame) {
        return payloadLength(frame) == 0 ? EMPTY : frame.getUnsignedByte(frame.readerIndex() + HEADER_BYTES);
    }

    /** Returns the payload's length. */
    public static int payloadLength(ByteBuf frame) {
        return frame.readableBytes() - HEADER_BYTES;
    }

    /** Returns a view of the payload, which shares the reference count of the frame. */
    public static ByteBuf payload(ByteBuf frame) {
        return frame.slice(frame.readerIndex() + HEADER_BYTES, payloadLength(frame));
    }

    /** Returns whether the frame is an EOF packet. */
    public static boolean isEof(ByteBuf frame) {
        return firstByte(frame) == EOF && payloadLength(frame) < MIN_ROW_BYTES_AFTER_EOF_BYTE;
    }

    /** Returns the error's number, or {@link #UNKNOWN_ERROR} if the packet is too short for one. */
    public static int errorCode(ByteBuf frame) {
        return payloadLength(frame) < ERROR_HEAD_BYTES
                ? UNKNOWN_ERROR
                : frame.getUnsignedShortLE(frame.readerIndex() + HEADER_BYTES + 1);
    }

    /** Reads a length-encoded integer. */
    public static long readLengthEncodedInt(ByteBuf payload) {
        int firstByte = payload.readUnsignedByte();
        return switch (firstByte) {
            case TWO_BYTES_FOLLOW -> payload.readUnsignedShortLE();
            case THREE_BYTES_FOLLOW -> payload.readUnsignedMediumLE();
            case EIGHT_BYTES_FOLLOW -> payload.readLongLE();
            default -> firstByte;
        };
    }

    /** Writes a length-encoded string of less than 64 KiB. */
    public static void writeLengthEncodedString(ByteBuf packet, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_ONE_BYTE_INT) {
            packet.writeByte(TWO_BYTES_FOLLOW).writeShortLE(bytes.length);
        } else {
            packet.writeByte(bytes.length);
        }
        packet.writeBytes(bytes);
    }

    /** Reads a string that ends with a zero byte or at the end of the packet. */
    public static String readCString(ByteBuf payload) {
        int length = payload.bytesBefore((byte) 0);
        if (length < 0) {
            length = payload.readableBytes();
        }
        String text = payload.readCharSequence(length, StandardCharsets.UTF_8).toString();
        payload.skipBytes(Math.min(1, payload.readableBytes()));
        return text;
    }

    /** Returns a copy of a frame with another sequence number. */
    public static ByteBuf withSequence(byte[] frame, int sequence) {
        byte[] renumbered = frame.clone();
        renumbered[HEADER_BYTES - 1] = (byte) sequence;
        return Unpooled.wrappedBuffer(renumbered);
    }

    /** Returns the sequence number that follows the last of these packets. */
    public static int sequenceAfter(byte[] packets) {
        int offset = 0;
        int sequence = 0;
        while (offset < packets.length) {
            sequence = packets[offset + HEADER_BYTES - 1] & 0xff;
            offset += frameLength(packets, offset);
        }
        return sequence + 1;
    }
}
