package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import lineward.core.Command;

/** Encodes the messages of the platform's service as frames. The caller owns the returned buffers. */
final class ThriftWriter {
    private static final int FRAME_LENGTH_BYTES = 4;
    /** Parts of the frame of a result: header, result and trailer. */
    private static final int RESULT_FRAME_PARTS = 3;

    private ThriftWriter() {}

    /** Returns the response with a result. The frame takes ownership of the result, and does not copy it. */
    static ByteBuf result(ByteBufAllocator alloc, int sequenceNumber, ByteBuf result) {
        ByteBuf header = beginSuccess(alloc, ThriftProtocol.INVOKE, sequenceNumber);
        header.writeInt(result.readableBytes());
        ByteBuf trailer = endSuccess(alloc.buffer(), true);
        CompositeByteBuf frame = Unpooled.compositeBuffer(RESULT_FRAME_PARTS);
        frame.addComponents(true, header, result, trailer);
        return framed(frame);
    }

    /** Returns a request, encoded as a client would send it, for the warm-up. */
    static ByteBuf invocation(
            ByteBufAllocator alloc, int sequenceNumber, Map<CallField, String> fields, String statement) {
        Map<String, String> wireFields = new HashMap<>();
        fields.forEach((field, value) -> wireFields.put(field.wireName(), value));
        ByteBuf buffer = begin(alloc, ThriftProtocol.CALL, ThriftProtocol.INVOKE, sequenceNumber);
        writeStringMap(buffer, ThriftProtocol.ARGUMENT_FIELDS, wireFields);
        writeFieldHeader(buffer, ThriftProtocol.STRING, ThriftProtocol.ARGUMENT_STATEMENT);
        writeString(buffer, statement);
        return framed(buffer.writeByte(ThriftProtocol.STOP));
    }

    /** Returns the response to a ping, which states whether clients should use this front end. */
    static ByteBuf pong(ByteBufAllocator alloc, int sequenceNumber, boolean isRecommendedToClients) {
        ByteBuf buffer = beginSuccess(alloc, ThriftProtocol.PING, sequenceNumber);
        buffer.writeInt(0);
        return framed(endSuccess(buffer, isRecommendedToClients));
    }

    /**
     * Returns the response to a rejected request.
     *
     * @param retryAfterMs the time after which the client should retry, or
     *     {@link Command.Reject#NO_RETRY_AFTER}
     */
    static ByteBuf overloaded(ByteBufAllocator alloc, int sequenceNumber, long retryAfterMs) {
        Map<String, String> fields = Map.of();
        if (retryAfterMs > Command.Reject.NO_RETRY_AFTER) {
            fields = Map.of(ThriftProtocol.RETRY_AFTER_FIELD, Long.toString(retryAfterMs));
        }
        return declaredException(alloc, sequenceNumber, ThriftProtocol.REPLY_OVERLOADED, fields);
    }

    /** Returns the response to a failed request. */
    static ByteBuf internalError(ByteBufAllocator alloc, int sequenceNumber) {
        return declaredException(alloc, sequenceNumber, ThriftProtocol.REPLY_INTERNAL, Map.of());
    }

    /** Returns the response to a call of an unknown method. */
    static ByteBuf unknownMethod(ByteBufAllocator alloc, String method, int sequenceNumber) {
        int code = ThriftProtocol.UNKNOWN_METHOD;
        return applicationException(alloc, method, sequenceNumber, code, "no such method");
    }

    /** Returns the response to an invalid request. */
    static ByteBuf protocolError(ByteBufAllocator alloc, int sequenceNumber, String message) {
        int code = ThriftProtocol.PROTOCOL_ERROR;
        return applicationException(alloc, ThriftProtocol.INVOKE, sequenceNumber, code, message);
    }

    private static ByteBuf declaredException(
            ByteBufAllocator alloc, int sequenceNumber, int fieldId, Map<String, String> fields) {
        ByteBuf buffer = begin(alloc, ThriftProtocol.REPLY, ThriftProtocol.INVOKE, sequenceNumber);
        writeFieldHeader(buffer, ThriftProtocol.STRUCT, fieldId);
        writeStringMap(buffer, ThriftProtocol.DECLARED_EXCEPTION_FIELDS, fields);
        buffer.writeByte(ThriftProtocol.STOP).writeByte(ThriftProtocol.STOP);
        return framed(buffer);
    }

    private static ByteBuf applicationException(
            ByteBufAllocator alloc, String method, int sequenceNumber, int code, String message) {
        ByteBuf buffer = begin(alloc, ThriftProtocol.EXCEPTION, method, sequenceNumber);
        writeFieldHeader(buffer, ThriftProtocol.STRING, ThriftProtocol.EXCEPTION_MESSAGE);
        writeString(buffer, message);
        writeFieldHeader(buffer, ThriftProtocol.I32, ThriftProtocol.EXCEPTION_CODE);
        buffer.writeInt(code).writeByte(ThriftProtocol.STOP);
        return framed(buffer);
    }

    /** Begins a successful reply; the caller appends the body with its length. */
    private static ByteBuf beginSuccess(ByteBufAllocator alloc, String method, int sequenceNumber) {
        ByteBuf buffer = begin(alloc, ThriftProtocol.REPLY, method, sequenceNumber);
        writeFieldHeader(buffer, ThriftProtocol.STRUCT, ThriftProtocol.REPLY_SUCCESS);
        writeFieldHeader(buffer, ThriftProtocol.STRING, ThriftProtocol.RESULT_BODY);
        return buffer;
    }

    private static ByteBuf endSuccess(ByteBuf buffer, boolean ok) {
        writeStringMap(buffer, ThriftProtocol.RESULT_FIELDS, Map.of());
        writeFieldHeader(buffer, ThriftProtocol.BOOL, ThriftProtocol.RESULT_OK);
        return buffer.writeBoolean(ok).writeByte(ThriftProtocol.STOP).writeByte(ThriftProtocol.STOP);
    }

    private static ByteBuf begin(ByteBufAllocator alloc, int messageType, String method, int sequenceNumber) {
        ByteBuf buffer = alloc.buffer();
        // The first word is the length of the frame, which framed() sets.
        buffer.writeInt(0).writeInt(ThriftProtocol.VERSION | messageType);
        writeString(buffer, method);
        return buffer.writeInt(sequenceNumber);
    }

    private static ByteBuf framed(ByteBuf buffer) {
        return buffer.setInt(0, buffer.readableBytes() - FRAME_LENGTH_BYTES);
    }

    private static void writeFieldHeader(ByteBuf buffer, byte type, int id) {
        buffer.writeByte(type).writeShort(id);
    }

    private static void writeStringMap(ByteBuf buffer, int id, Map<String, String> entries) {
        writeFieldHeader(buffer, ThriftProtocol.MAP, id);
        buffer.writeByte(ThriftProtocol.STRING).writeByte(ThriftProtocol.STRING).writeInt(entries.size());
        entries.forEach((name, value) -> {
            writeString(buffer, name);
            writeString(buffer, value);
        });
    }

    private static void writeString(ByteBuf buffer, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        buffer.writeInt(bytes.length).writeBytes(bytes);
    }
}
