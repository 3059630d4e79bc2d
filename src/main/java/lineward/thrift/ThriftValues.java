package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;

/** Reads lengths and skips values of any type in the strict binary protocol. */
final class ThriftValues {
    private static final int MAX_NESTING = 32;
    private static final int FIELD_ID_BYTES = 2;
    /** Stands for the value type of a collection that is not a map. */
    private static final byte NO_VALUES = ThriftProtocol.STOP;

    private ThriftValues() {}

    /** Reads the length of the next value, and checks that the message contains the whole value. */
    static int readLength(ByteBuf in) {
        int length = in.readInt();
        if (length < 0 || length > in.readableBytes()) {
            throw new CorruptedFrameException("invalid value length " + length);
        }
        return length;
    }

    /** Skips a value of that type. */
    static void skip(ByteBuf in, byte type) {
        skip(in, type, 0);
    }

    private static void skip(ByteBuf in, byte type, int depth) {
        if (depth > MAX_NESTING) {
            throw new CorruptedFrameException("values are nested deeper than " + MAX_NESTING);
        }
        switch (type) {
            case ThriftProtocol.BOOL, ThriftProtocol.BYTE -> in.skipBytes(Byte.BYTES);
            case ThriftProtocol.I16 -> in.skipBytes(Short.BYTES);
            case ThriftProtocol.I32 -> in.skipBytes(Integer.BYTES);
            case ThriftProtocol.DOUBLE, ThriftProtocol.I64 -> in.skipBytes(Long.BYTES);
            case ThriftProtocol.STRING -> in.skipBytes(readLength(in));
            case ThriftProtocol.STRUCT -> skipStruct(in, depth);
            case ThriftProtocol.MAP -> skipElements(in, in.readByte(), in.readByte(), depth);
            case ThriftProtocol.SET, ThriftProtocol.LIST -> skipElements(in, in.readByte(), NO_VALUES, depth);
            default -> throw new CorruptedFrameException("unknown value type " + type);
        }
    }

    private static void skipStruct(ByteBuf in, int depth) {
        for (byte type = in.readByte(); type != ThriftProtocol.STOP; type = in.readByte()) {
            in.skipBytes(FIELD_ID_BYTES);
            skip(in, type, depth + 1);
        }
    }

    /**
     * Skips the elements of a collection. Each takes at least one byte, so the remaining bytes bound their
     * number.
     *
     * @param valueType {@link #NO_VALUES} if the collection is not a map
     */
    private static void skipElements(ByteBuf in, byte elementType, byte valueType, int depth) {
        int count = in.readInt();
        if (count < 0 || count > in.readableBytes()) {
            throw new CorruptedFrameException("invalid collection size " + count);
        }
        for (int i = 0; i < count; i++) {
            skip(in, elementType, depth + 1);
            if (valueType != NO_VALUES) {
                skip(in, valueType, depth + 1);
            }
        }
    }
}
