package lineward.mysql;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;

/** A result of one row of texts, or none, that the front answers by itself. */
final class LocalResult {
    private static final int VAR_STRING = 253;
    private static final int WIDEST = 1024;

    private LocalResult() {}

    static ByteBuf of(ByteBufAllocator alloc, int first, Dialect dialect, SessionSettings.Reading reading) {
        int sequence = first;
        ByteBuf out = alloc.buffer();
        ByteBuf count =
                Packets.begin(alloc, sequence++).writeByte(reading.labels().size());
        add(out, count);
        for (String label : reading.labels()) {
            ByteBuf column = Packets.begin(alloc, sequence++);
            for (String text : new String[] {"def", "", "", "", label, ""}) {
                text(column, text);
            }
            column.writeByte(12)
                    .writeShortLE(Handshake.UTF8MB4)
                    .writeIntLE(WIDEST)
                    .writeByte(VAR_STRING)
                    .writeShortLE(0)
                    .writeByte(0)
                    .writeShortLE(0);
            add(out, column);
        }
        if (dialect == Dialect.PLAIN) {
            add(out, Packets.eof(alloc, sequence++, 0));
        }
        if (!reading.values().isEmpty()) {
            ByteBuf row = Packets.begin(alloc, sequence++);
            reading.values().forEach(value -> text(row, value));
            add(out, row);
        }
        return append(out, dialect.end(alloc, sequence, 0));
    }

    private static ByteBuf add(ByteBuf to, ByteBuf packet) {
        return append(to, Packets.done(packet));
    }

    private static ByteBuf append(ByteBuf to, ByteBuf packet) {
        to.writeBytes(packet);
        packet.release();
        return to;
    }

    private static void text(ByteBuf out, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        if (bytes.length > 250) {
            out.writeByte(0xfc).writeShortLE(bytes.length);
        } else {
            out.writeByte(bytes.length);
        }
        out.writeBytes(bytes);
    }
}
