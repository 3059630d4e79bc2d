package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.CorruptedFrameException;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/**
 * Decodes the messages of the platform's service. Every method throws a {@link CorruptedFrameException} if
 * the message is malformed.
 */
final class ThriftReader {
    private static final int MAX_CALL_FIELDS = 64;
    private static final int MAX_METHOD_NAME_BYTES = 128;

    /**
     * The header of a message.
     *
     * @param type one of the message types in {@link ThriftProtocol}
     */
    record Header(int type, String method, int sequenceNumber) {
        boolean isCall() {
            return type == ThriftProtocol.CALL;
        }

        boolean isAbort() {
            return type == ThriftProtocol.ONEWAY && method.equals(ThriftProtocol.ABORT);
        }
    }

    /**
     * The arguments of an invocation.
     *
     * @param fields the known fields that are present, with their values
     * @param statement a slice of the frame; null if it is absent
     */
    record Invocation(Map<CallField, String> fields, ByteBuf statement) {}

    private ThriftReader() {}

    /** Reads the header of a message; the reader index is then at the arguments. */
    static Header readHeader(ByteBuf in) {
        try {
            int versionAndType = in.readInt();
            if ((versionAndType & ThriftProtocol.VERSION_MASK) != ThriftProtocol.VERSION) {
                throw new CorruptedFrameException("not a message of the strict binary protocol");
            }
            int length = in.readInt();
            if (length < 0 || length > MAX_METHOD_NAME_BYTES) {
                throw new CorruptedFrameException("method name of " + length + " bytes");
            }
            String method = in.readCharSequence(length, StandardCharsets.UTF_8).toString();
            return new Header(versionAndType & ThriftProtocol.MESSAGE_TYPE_MASK, method, in.readInt());
        } catch (IndexOutOfBoundsException e) {
            throw new CorruptedFrameException("message header is truncated");
        }
    }

    /** Reads the arguments of an invocation, and skips unknown arguments and fields. */
    static Invocation readInvocation(ByteBuf in) {
        Map<CallField, String> fields = Map.of();
        ByteBuf statement = null;
        try {
            for (byte type = in.readByte(); type != ThriftProtocol.STOP; type = in.readByte()) {
                short id = in.readShort();
                if (id == ThriftProtocol.ARGUMENT_FIELDS && type == ThriftProtocol.MAP) {
                    fields = readFields(in);
                } else if (id == ThriftProtocol.ARGUMENT_STATEMENT && type == ThriftProtocol.STRING) {
                    statement = in.readSlice(ThriftValues.readLength(in));
                } else {
                    ThriftValues.skip(in, type);
                }
            }
            requireEnd(in);
        } catch (IndexOutOfBoundsException e) {
            throw new CorruptedFrameException("arguments are truncated");
        }
        return new Invocation(fields, statement);
    }

    /** Reads the sequence number of the call that an abort cancels; empty if it is absent. */
    static OptionalInt readAbortedSequenceNumber(ByteBuf in) {
        OptionalInt found = OptionalInt.empty();
        try {
            for (byte type = in.readByte(); type != ThriftProtocol.STOP; type = in.readByte()) {
                short id = in.readShort();
                if (id == ThriftProtocol.ARGUMENT_SEQUENCE_NUMBER && type == ThriftProtocol.I32) {
                    found = OptionalInt.of(in.readInt());
                } else {
                    ThriftValues.skip(in, type);
                }
            }
            requireEnd(in);
        } catch (IndexOutOfBoundsException e) {
            throw new CorruptedFrameException("arguments are truncated");
        }
        return found;
    }

    /** Rejects trailing bytes: they show that a length is wrong, although the arguments were decoded. */
    private static void requireEnd(ByteBuf in) {
        if (in.isReadable()) {
            throw new CorruptedFrameException(in.readableBytes() + " bytes after the arguments");
        }
    }

    private static Map<CallField, String> readFields(ByteBuf in) {
        byte keyType = in.readByte();
        byte valueType = in.readByte();
        int size = in.readInt();
        boolean ofStrings = keyType == ThriftProtocol.STRING && valueType == ThriftProtocol.STRING;
        boolean sizeInRange = size >= 0 && size <= MAX_CALL_FIELDS;
        if (!sizeInRange || (size > 0 && !ofStrings)) {
            throw new CorruptedFrameException("not a map of at most " + MAX_CALL_FIELDS + " string fields");
        }
        Map<CallField, String> fields = new EnumMap<>(CallField.class);
        for (int i = 0; i < size; i++) {
            Optional<CallField> field = CallField.ofWireName(readString(in));
            String value = readString(in);
            field.ifPresent(known -> fields.put(known, value));
        }
        return fields;
    }

    private static String readString(ByteBuf in) {
        int length = ThriftValues.readLength(in);
        return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
    }
}
