package lineward.mysql.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.List;

/**
 * A result that the front end itself produces, with at most one row. All values are strings.
 *
 * @param labels names of the columns
 * @param row one value for each column; empty if the result has no row
 */
public record LocalResult(List<String> labels, List<String> row) {
    /**
     * The result of SHOW WARNINGS. It is always empty, because the connection to the engine may have executed
     * a statement of another client in the meantime.
     */
    public static final LocalResult NO_WARNINGS = withoutRows("Level", "Code", "Message");

    private static final String CATALOG = "def";
    private static final int TYPE_VAR_STRING = 253;
    private static final int MAX_VALUE_BYTES = 1024;
    /** Bytes of the fixed-length fields at the end of a column definition. */
    private static final int FIXED_FIELDS_BYTES = 12;

    /** Makes immutable copies of the lists. */
    public LocalResult {
        labels = List.copyOf(labels);
        row = List.copyOf(row);
    }

    private static LocalResult withoutRows(String... labels) {
        return new LocalResult(List.of(labels), List.of());
    }

    /** Returns the packets of the result; the first one has this sequence number. */
    public ByteBuf encode(ByteBufAllocator alloc, int firstSequence, ResultFormat format) {
        int sequence = firstSequence;
        ByteBuf reply = alloc.buffer();
        append(reply, Packets.finish(Packets.begin(alloc, sequence++).writeByte(labels.size())));
        for (String label : labels) {
            append(reply, column(alloc, sequence++, label));
        }
        if (format == ResultFormat.EOF_PACKETS) {
            append(reply, Packets.eof(alloc, sequence++, 0));
        }
        if (!row.isEmpty()) {
            ByteBuf values = Packets.begin(alloc, sequence++);
            row.forEach(value -> Packets.writeLengthEncodedString(values, value));
            append(reply, Packets.finish(values));
        }
        append(reply, format.eofOrOk(alloc, sequence, 0));
        return reply;
    }

    private static ByteBuf column(ByteBufAllocator alloc, int sequence, String label) {
        ByteBuf column = Packets.begin(alloc, sequence);
        String schema = "";
        String table = "";
        String originalTable = "";
        String originalLabel = "";
        for (String text : List.of(CATALOG, schema, table, originalTable, label, originalLabel)) {
            Packets.writeLengthEncodedString(column, text);
        }
        column.writeByte(FIXED_FIELDS_BYTES)
                .writeShortLE(Handshake.UTF8MB4_COLLATION)
                .writeIntLE(MAX_VALUE_BYTES)
                .writeByte(TYPE_VAR_STRING)
                .writeShortLE(0) // flags
                .writeByte(0) // decimals
                .writeShortLE(0); // filler
        return Packets.finish(column);
    }

    private static void append(ByteBuf reply, ByteBuf packets) {
        reply.writeBytes(packets);
        packets.release();
    }
}
