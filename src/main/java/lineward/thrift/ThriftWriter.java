package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Writes the messages of the platform's service as frames, which are the caller's to release. */
final class ThriftWriter {
    private static final int FRAME_LENGTH_BYTES = 4;
    /** Parts of a result's frame: what comes before the result, the result, what comes behind it. */
    private static final int RESULT_FRAME_PARTS = 3;

    private ThriftWriter() {}

    /** Returns the response that carries a result; its bytes go out as they came, and the frame owns them. */
    static ByteBuf result(ByteBufAllocator alloc, int sequenceNumber, ByteBuf result) {
        ByteBuf head = beginSuccess(alloc, ThriftProtocol.INVOKE, sequenceNumber);
        head.writeInt(result.readableBytes());
        ByteBuf tail = endSuccess(alloc.buffer(), true);
        CompositeByteBuf frame = Unpooled.compositeBuffer(RESULT_FRAME_PARTS);
        frame.addComponents(true, head, result, tail);
        return framed(frame);
    }

    /** Returns a request as clients write it. */
    static ByteBuf invocation(
            ByteBufAllocator alloc, int sequenceNumber, Map<String, String> fields, String statement) {
        ByteBuf out = begin(alloc, ThriftProtocol.CALL, ThriftProtocol.INVOKE, sequenceNumber);
        writeStringMap(out, ThriftProtocol.ARGUMENT_FIELDS, fields);
        writeFieldHeader(out, ThriftProtocol.STRING, ThriftProtocol.ARGUMENT_STATEMENT);
        writeString(out, statement);
        return framed(out.writeByte(ThriftProtocol.STOP));
    }

    /** Returns the response to a ping. */
    static ByteBuf pong(ByteBufAllocator alloc, int sequenceNumber, boolean acceptsClients) {
        ByteBuf out = beginSuccess(alloc, ThriftProtocol.PING, sequenceNumber);
        out.writeInt(0);
        return framed(endSuccess(out, acceptsClients));
    }

    /** Returns the response of a rejected request; a retry is welcome after that time, 0 gives no advice. */
    static ByteBuf overloaded(ByteBufAllocator alloc, int sequenceNumber, long retryAfterMs) {
        Map<String, String> fields = Map.of();
        if (retryAfterMs > 0) {
            fields = Map.of(ThriftProtocol.RETRY_AFTER_FIELD, Long.toString(retryAfterMs));
        }
        return declaredException(alloc, sequenceNumber, ThriftProtocol.REPLY_OVERLOADED, fields);
    }

    /** Returns the response of a failed request. */
    static ByteBuf internalError(ByteBufAllocator alloc, int sequenceNumber) {
        return declaredException(alloc, sequenceNumber, ThriftProtocol.REPLY_INTERNAL, Map.of());
    }

    /** Returns the response to a call of a method that there is none of. */
    static ByteBuf unknownMethod(ByteBufAllocator alloc, String method, int sequenceNumber) {
        int code = ThriftProtocol.UNKNOWN_METHOD;
        return applicationException(alloc, method, sequenceNumber, code, "no such method");
    }

    /** Returns the response of a request that can't be served as it stands. */
    static ByteBuf protocolError(ByteBufAllocator alloc, int sequenceNumber, String message) {
        int code = ThriftProtocol.PROTOCOL_ERROR;
        return applicationException(alloc, ThriftProtocol.INVOKE, sequenceNumber, code, message);
    }

    private static ByteBuf declaredException(
            ByteBufAllocator alloc, int sequenceNumber, int fieldId, Map<String, String> fields) {
        ByteBuf out = begin(alloc, ThriftProtocol.REPLY, ThriftProtocol.INVOKE, sequenceNumber);
        writeFieldHeader(out, ThriftProtocol.STRUCT, fieldId);
        writeStringMap(out, ThriftProtocol.DECLARED_FIELDS, fields);
        out.writeByte(ThriftProtocol.STOP).writeByte(ThriftProtocol.STOP);
        return framed(out);
    }

    private static ByteBuf applicationException(
            ByteBufAllocator alloc, String method, int sequenceNumber, int code, String message) {
        ByteBuf out = begin(alloc, ThriftProtocol.EXCEPTION, method, sequenceNumber);
        writeFieldHeader(out, ThriftProtocol.STRING, ThriftProtocol.EXCEPTION_MESSAGE);
        writeString(out, message);
        writeFieldHeader(out, ThriftProtocol.I32, ThriftProtocol.EXCEPTION_CODE);
        out.writeInt(code).writeByte(ThriftProtocol.STOP);
        return framed(out);
    }

    /** Begins a successful reply; the length of its body, and the body, come next. */
    private static ByteBuf beginSuccess(ByteBufAllocator alloc, String method, int sequenceNumber) {
        ByteBuf out = begin(alloc, ThriftProtocol.REPLY, method, sequenceNumber);
        writeFieldHeader(out, ThriftProtocol.STRUCT, ThriftProtocol.REPLY_SUCCESS);
        writeFieldHeader(out, ThriftProtocol.STRING, ThriftProtocol.RESULT_BODY);
        return out;
    }

    private static ByteBuf endSuccess(ByteBuf out, boolean ok) {
        writeStringMap(out, ThriftProtocol.RESULT_FIELDS, Map.of());
        writeFieldHeader(out, ThriftProtocol.BOOL, ThriftProtocol.RESULT_OK);
        return out.writeBoolean(ok).writeByte(ThriftProtocol.STOP).writeByte(ThriftProtocol.STOP);
    }

    private static ByteBuf begin(ByteBufAllocator alloc, int messageKind, String method, int sequenceNumber) {
        ByteBuf out = alloc.buffer();
        out.writeInt(0).writeInt(ThriftProtocol.VERSION | messageKind);
        writeString(out, method);
        return out.writeInt(sequenceNumber);
    }

    private static ByteBuf framed(ByteBuf out) {
        return out.setInt(0, out.readableBytes() - FRAME_LENGTH_BYTES);
    }

    private static void writeFieldHeader(ByteBuf out, byte type, int id) {
        out.writeByte(type).writeShort(id);
    }

    private static void writeStringMap(ByteBuf out, int id, Map<String, String> entries) {
        writeFieldHeader(out, ThriftProtocol.MAP, id);
        out.writeByte(ThriftProtocol.STRING).writeByte(ThriftProtocol.STRING).writeInt(entries.size());
        entries.forEach((name, value) -> {
            writeString(out, name);
            writeString(out, value);
        });
    }

    private static void writeString(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length).writeBytes(bytes);
    }
}
