package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;

/** Reads lengths and skips values of any kind in the strict binary protocol. */
final class ThriftValues {
    private static final int MAX_NESTING = 32;
    private static final int FIELD_ID_BYTES = 2;
    /** The type of values in a collection that is not a map. */
    private static final byte NO_VALUES = ThriftProtocol.STOP;

    private ThriftValues() {}

    /** Returns the length of the next value, which the message contains completely. */
    static int readLength(ByteBuf in) {
        int length = in.readInt();
        if (length < 0 || length > in.readableBytes()) {
            throw new CorruptedFrameException("value of " + length + " bytes");
        }
        return length;
    }

    /** Skips a value of that kind. */
    static void skip(ByteBuf in, byte type) {
        skip(in, type, 0);
    }

    private static void skip(ByteBuf in, byte type, int depth) {
        if (depth > MAX_NESTING) {
            throw new CorruptedFrameException("nested too deeply");
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
            default -> throw new CorruptedFrameException("unknown kind of value " + type);
        }
    }

    private static void skipStruct(ByteBuf in, int depth) {
        for (byte type = in.readByte(); type != ThriftProtocol.STOP; type = in.readByte()) {
            in.skipBytes(FIELD_ID_BYTES);
            skip(in, type, depth + 1);
        }
    }

    /**
     * Skips the elements of a collection. Each has at least one byte, so the bytes left bound their count.
     *
     * @param valueType {@link #NO_VALUES} if the collection is not a map
     */
    private static void skipElements(ByteBuf in, byte elementType, byte valueType, int depth) {
        int count = in.readInt();
        if (count < 0 || count > in.readableBytes()) {
            throw new CorruptedFrameException("collection of " + count);
        }
        for (int i = 0; i < count; i++) {
            skip(in, elementType, depth + 1);
            if (valueType != NO_VALUES) {
                skip(in, valueType, depth + 1);
            }
        }
    }
}
