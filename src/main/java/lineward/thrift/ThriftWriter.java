package lineward.thrift;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Writes the answers of the platform's service as frames. */
final class ThriftWriter {
    /** Codes of an application exception. */
    static final int UNKNOWN_METHOD = 1;

    static final int INTERNAL_ERROR = 6;
    static final int PROTOCOL_ERROR = 7;

    private static final int REPLY = 2;
    private static final int EXCEPTION = 3;
    private static final int FRAME_HEAD = 4;

    private ThriftWriter() {}

    /** The result's bytes go out as they came; the frame takes them over. */
    static ByteBuf served(ByteBufAllocator alloc, String method, int seqid, ByteBuf result) {
        ByteBuf head = begin(alloc, REPLY, method, seqid);
        field(head, ThriftReader.STRUCT, 0);
        field(head, ThriftReader.STRING, 1);
        head.writeInt(result.readableBytes());
        ByteBuf tail = alloc.buffer();
        map(tail, 2, Map.of());
        field(tail, ThriftReader.BOOL, 3);
        tail.writeByte(1).writeByte(ThriftReader.STOP).writeByte(ThriftReader.STOP);
        CompositeByteBuf frame = Unpooled.compositeBuffer(3);
        frame.addComponents(true, head, result, tail);
        return framed(frame);
    }

    /** A request as clients write it. */
    static ByteBuf invocation(ByteBufAllocator alloc, int seqid, Map<String, String> fields, String body) {
        ByteBuf out = begin(alloc, ThriftReader.CALL, "invoke", seqid);
        map(out, 1, fields);
        field(out, ThriftReader.STRING, 2);
        text(out, body);
        return framed(out.writeByte(ThriftReader.STOP));
    }

    static ByteBuf pong(ByteBufAllocator alloc, int seqid, boolean good) {
        ByteBuf out = begin(alloc, REPLY, "ping", seqid);
        field(out, ThriftReader.STRUCT, 0);
        field(out, ThriftReader.STRING, 1);
        out.writeInt(0);
        map(out, 2, Map.of());
        field(out, ThriftReader.BOOL, 3);
        out.writeBoolean(good).writeByte(ThriftReader.STOP).writeByte(ThriftReader.STOP);
        return framed(out);
    }

    static ByteBuf overloaded(ByteBufAllocator alloc, int seqid, long pushbackMs) {
        return declared(alloc, seqid, 1, pushbackMs > 0 ? Map.of("pushback", Long.toString(pushbackMs)) : Map.of());
    }

    static ByteBuf internal(ByteBufAllocator alloc, int seqid) {
        return declared(alloc, seqid, 2, Map.of());
    }

    private static ByteBuf declared(ByteBufAllocator alloc, int seqid, int which, Map<String, String> fields) {
        ByteBuf out = begin(alloc, REPLY, "invoke", seqid);
        field(out, ThriftReader.STRUCT, which);
        map(out, 1, fields);
        out.writeByte(ThriftReader.STOP).writeByte(ThriftReader.STOP);
        return framed(out);
    }

    static ByteBuf exception(ByteBufAllocator alloc, String method, int seqid, int code, String message) {
        ByteBuf out = begin(alloc, EXCEPTION, method, seqid);
        field(out, ThriftReader.STRING, 1);
        text(out, message);
        field(out, ThriftReader.I32, 2);
        out.writeInt(code).writeByte(ThriftReader.STOP);
        return framed(out);
    }

    private static ByteBuf begin(ByteBufAllocator alloc, int kind, String method, int seqid) {
        ByteBuf out = alloc.buffer();
        out.writeInt(0).writeInt(ThriftReader.VERSION | kind);
        text(out, method);
        return out.writeInt(seqid);
    }

    private static ByteBuf framed(ByteBuf out) {
        return out.setInt(0, out.readableBytes() - FRAME_HEAD);
    }

    private static void field(ByteBuf out, byte type, int id) {
        out.writeByte(type).writeShort(id);
    }

    private static void map(ByteBuf out, int id, Map<String, String> fields) {
        field(out, ThriftReader.MAP, id);
        out.writeByte(ThriftReader.STRING).writeByte(ThriftReader.STRING).writeInt(fields.size());
        fields.forEach((name, value) -> {
            text(out, name);
            text(out, value);
        });
    }

    private static void text(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeInt(bytes.length).writeBytes(bytes);
    }
}
