package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Reads the strict binary protocol of Thrift, as far as the platform's service needs it. */
final class ThriftReader {
    /** Kinds of message. */
    static final int CALL = 1;

    static final int ONEWAY = 4;
    /** Kinds of value on the wire. */
    static final byte STOP = 0;

    static final byte BOOL = 2;
    static final byte I32 = 8;
    static final byte STRING = 11;
    static final byte STRUCT = 12;
    static final byte MAP = 13;
    static final int VERSION = 0x80010000;

    private static final int VERSION_MASK = 0xffff0000;
    private static final int DEEPEST = 32;
    private static final int MOST_FIELDS = 64;
    private static final int LONGEST_NAME = 128;

    /** The head of a message. */
    record Head(int kind, String method, int seqid) {}

    /** The arguments of an invocation; the body is a slice of the frame. */
    record Invocation(Map<String, String> fields, ByteBuf body) {}

    private ThriftReader() {}

    static Head head(ByteBuf in) {
        try {
            int first = in.readInt();
            if ((first & VERSION_MASK) != VERSION) {
                throw new CorruptedFrameException("not the strict binary protocol");
            }
            int length = in.readInt();
            if (length < 0 || length > LONGEST_NAME) {
                throw new CorruptedFrameException("name of " + length + " bytes");
            }
            String method = in.readCharSequence(length, StandardCharsets.UTF_8).toString();
            return new Head(first & 0xff, method, in.readInt());
        } catch (IndexOutOfBoundsException e) {
            throw new CorruptedFrameException("message ends early");
        }
    }

    static Invocation invocation(ByteBuf in) {
        Map<String, String> fields = Map.of();
        ByteBuf body = null;
        try {
            for (byte type = in.readByte(); type != STOP; type = in.readByte()) {
                short id = in.readShort();
                if (id == 1 && type == MAP) {
                    fields = map(in);
                } else if (id == 2 && type == STRING) {
                    body = in.readSlice(length(in));
                } else {
                    skip(in, type, 0);
                }
            }
            end(in);
        } catch (IndexOutOfBoundsException e) {
            throw new CorruptedFrameException("arguments end early");
        }
        return new Invocation(fields, body);
    }

    /** Returns the one i32 argument, or null if it is missing. */
    static Integer number(ByteBuf in) {
        Integer found = null;
        try {
            for (byte type = in.readByte(); type != STOP; type = in.readByte()) {
                short id = in.readShort();
                if (id == 1 && type == I32) {
                    found = in.readInt();
                } else {
                    skip(in, type, 0);
                }
            }
            end(in);
        } catch (IndexOutOfBoundsException e) {
            throw new CorruptedFrameException("arguments end early");
        }
        return found;
    }

    /** A length that is wrong somewhere may still leave what reads well: only the end then shows it. */
    private static void end(ByteBuf in) {
        if (in.isReadable()) {
            throw new CorruptedFrameException(in.readableBytes() + " bytes behind the arguments");
        }
    }

    private static Map<String, String> map(ByteBuf in) {
        byte key = in.readByte();
        byte value = in.readByte();
        int size = in.readInt();
        if (size < 0 || size > MOST_FIELDS || size > 0 && (key != STRING || value != STRING)) {
            throw new CorruptedFrameException("not a small map of strings");
        }
        Map<String, String> fields = new HashMap<>();
        for (int i = 0; i < size; i++) {
            String name = text(in);
            fields.put(name, text(in));
        }
        return fields;
    }

    private static String text(ByteBuf in) {
        return in.readCharSequence(length(in), StandardCharsets.UTF_8).toString();
    }

    private static int length(ByteBuf in) {
        int length = in.readInt();
        if (length < 0 || length > in.readableBytes()) {
            throw new CorruptedFrameException("value of " + length + " bytes");
        }
        return length;
    }

    /** Passes over a value of any kind; deep nesting is no request of ours. */
    private static void skip(ByteBuf in, byte type, int depth) {
        if (depth > DEEPEST) {
            throw new CorruptedFrameException("nested too deep");
        }
        switch (type) {
            case BOOL, 3 -> in.skipBytes(1);
            case 6 -> in.skipBytes(2);
            case I32 -> in.skipBytes(4);
            case 4, 10 -> in.skipBytes(8);
            case STRING -> in.skipBytes(length(in));
            case STRUCT -> {
                for (byte field = in.readByte(); field != STOP; field = in.readByte()) {
                    in.skipBytes(2);
                    skip(in, field, depth + 1);
                }
            }
            case MAP -> {
                byte key = in.readByte();
                byte value = in.readByte();
                skipMany(in, key, value, depth);
            }
            case 14, 15 -> skipMany(in, in.readByte(), STOP, depth);
            default -> throw new CorruptedFrameException("unknown kind of value " + type);
        }
    }

    /** Every element takes a byte at least, so the count is bounded by what is there. */
    private static void skipMany(ByteBuf in, byte first, byte second, int depth) {
        int count = in.readInt();
        if (count < 0 || count > in.readableBytes()) {
            throw new CorruptedFrameException("collection of " + count);
        }
        for (int i = 0; i < count; i++) {
            skip(in, first, depth + 1);
            if (second != STOP) {
                skip(in, second, depth + 1);
            }
        }
    }
}
