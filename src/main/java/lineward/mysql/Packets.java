package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** The packets that the front writes itself, and how to look into those that pass. All are whole frames. */
final class Packets {
    static final int HEAD = 4;
    static final int OK = 0x00;
    static final int EOF = 0xfe;
    static final int ERR = 0xff;
    static final int AUTOCOMMIT = 0x0002;
    static final int CURSOR_EXISTS = 0x0040;
    static final int LAST_ROW_SENT = 0x0080;
    /** Bytes of a payload at which a packet is continued in the next. */
    static final int LONGEST = 0xffffff;
    /** An EOF packet is shorter than this; a row that begins with the same byte is longer. */
    private static final int EOF_LESS_THAN = 9;

    /** First bytes of length-encoded integers: the number follows in so many bytes. */
    private static final int LENGTH_2 = 0xfc;

    private static final int LENGTH_3 = 0xfd;
    private static final int LENGTH_8 = 0xfe;
    /** The largest length that stands in the first byte itself. */
    private static final int MAX_LENGTH_IN_ONE_BYTE = 250;

    private Packets() {}

    /** Returns a frame whose length is set by {@link #done}. */
    static ByteBuf begin(ByteBufAllocator alloc, int sequence) {
        return alloc.buffer().writeMediumLE(0).writeByte(sequence);
    }

    static ByteBuf done(ByteBuf frame) {
        return frame.setMediumLE(0, frame.readableBytes() - HEAD);
    }

    static ByteBuf ok(ByteBufAllocator alloc, int sequence) {
        return done(begin(alloc, sequence)
                .writeByte(OK)
                .writeByte(0)
                .writeByte(0)
                .writeShortLE(AUTOCOMMIT)
                .writeShortLE(0));
    }

    static ByteBuf eof(ByteBufAllocator alloc, int sequence, int status) {
        return done(begin(alloc, sequence).writeByte(EOF).writeShortLE(0).writeShortLE(AUTOCOMMIT | status));
    }

    /** Returns the length, head included, of the packet that begins there. */
    static int length(byte[] packets, int at) {
        int low = packets[at] & 0xff;
        int middle = packets[at + 1] & 0xff;
        int high = packets[at + 2] & 0xff;
        return HEAD + (low | (middle << 8) | (high << 16));
    }

    static ByteBuf error(ByteBufAllocator alloc, int sequence, Failure failure) {
        ByteBuf out = begin(alloc, sequence).writeByte(ERR).writeShortLE(failure.code());
        out.writeCharSequence("#" + failure.state() + failure.message(), StandardCharsets.UTF_8);
        return done(out);
    }

    /** Returns a frame of one command with its bytes, to be released by the caller. */
    static ByteBuf command(ByteBufAllocator alloc, int command, ByteBuf rest) {
        ByteBuf frame = begin(alloc, 0).writeByte(command);
        return done(frame.writeBytes(rest, rest.readerIndex(), rest.readableBytes()));
    }

    static ByteBuf command(ByteBufAllocator alloc, int command, String text) {
        ByteBuf out = begin(alloc, 0).writeByte(command);
        out.writeCharSequence(text, StandardCharsets.UTF_8);
        return done(out);
    }

    static int sequence(ByteBuf frame) {
        return frame.getUnsignedByte(frame.readerIndex() + HEAD - 1);
    }

    /** Returns the payload's first byte, which tells what a packet is; -1 if it is empty. */
    static int first(ByteBuf frame) {
        return size(frame) == 0 ? -1 : frame.getUnsignedByte(frame.readerIndex() + HEAD);
    }

    static int size(ByteBuf frame) {
        return frame.readableBytes() - HEAD;
    }

    static ByteBuf payload(ByteBuf frame) {
        return frame.slice(frame.readerIndex() + HEAD, size(frame));
    }

    static boolean isEof(ByteBuf frame) {
        return first(frame) == EOF && size(frame) < EOF_LESS_THAN;
    }

    /** Returns the error's number, or 0 where the packet is too short to hold one. */
    static int errorCode(ByteBuf frame) {
        return size(frame) < 3 ? 0 : frame.getUnsignedShortLE(frame.readerIndex() + HEAD + 1);
    }

    /** Reads an integer of the protocol's own variable length. */
    static long lengthEncoded(ByteBuf in) {
        int first = in.readUnsignedByte();
        return switch (first) {
            case LENGTH_2 -> in.readUnsignedShortLE();
            case LENGTH_3 -> in.readUnsignedMediumLE();
            case LENGTH_8 -> in.readLongLE();
            default -> first;
        };
    }

    /** Writes a text of less than 64 KiB behind its length. */
    static void writeText(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > MAX_LENGTH_IN_ONE_BYTE) {
            out.writeByte(LENGTH_2).writeShortLE(bytes.length);
        } else {
            out.writeByte(bytes.length);
        }
        out.writeBytes(bytes);
    }

    /** Reads a text that ends with a zero byte, or with the packet. */
    static String zeroEnded(ByteBuf in) {
        int length = in.bytesBefore((byte) 0);
        if (length < 0) {
            length = in.readableBytes();
        }
        String text = in.readCharSequence(length, StandardCharsets.UTF_8).toString();
        in.skipBytes(Math.min(1, in.readableBytes()));
        return text;
    }
}
