package lineward.mysql;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** A statement that a client has prepared. Its text is kept, as any engine may have to run it. */
final class ClientStatement {
    /** Bytes of an execution's flags and iteration count. */
    private static final int HEAD_BYTES = 5;

    private static final int READ_ONLY_CURSOR = 1;
    private static final int TYPES_FOLLOW = 1;
    private static final int BYTES_PER_TYPE = 2;

    final String schema;
    /** Without the hint. */
    final String text;

    final SpoolHint hint;
    final int params;
    /** Bytes of its text that count against the limit for all clients. */
    final int reservedBytes;
    /** Null: none is open. */
    OpenCursor cursor;

    private final List<Work.LongData> longData = new ArrayList<>();
    private byte[] types;

    ClientStatement(String schema, SpoolHint hint, int params, int reservedBytes) {
        this.schema = schema;
        this.text = hint.statement();
        this.reservedBytes = reservedBytes;
        this.hint = hint;
        this.params = params;
    }

    boolean hasCursor() {
        return cursor != null && !cursor.isDone();
    }

    void closeCursor() {
        if (cursor != null) {
            cursor.close();
            cursor = null;
        }
    }

    /** Returns whether an execution with these arguments asks for a read-only cursor. */
    static boolean wantsCursor(ByteBuf arguments) {
        return arguments.isReadable() && arguments.getByte(arguments.readerIndex()) == READ_ONLY_CURSOR;
    }

    void add(Work.LongData data) {
        longData.add(data);
    }

    int longBytes() {
        return longData.stream().mapToInt(d -> d.bytes().length).sum();
    }

    /** Drops the data sent ahead of an execution, and the cursor. */
    void reset() {
        longData.clear();
        closeCursor();
    }

    /**
     * Takes the arguments of an execution. A client gives the types of its parameters once; whichever engine
     * runs the statement may not know them, so they always go along.
     *
     * @param in what follows the statement's id
     * @throws IllegalArgumentException if they are malformed or ask for another kind of cursor
     */
    Work.Execute execute(ByteBuf in) {
        ByteBuf out = in.alloc().heapBuffer(in.readableBytes() + BYTES_PER_TYPE * params + 1);
        try {
            int flags = in.readUnsignedByte();
            if (flags > READ_ONLY_CURSOR) {
                throw new IllegalArgumentException("only read-only cursors are supported");
            }
            // The cursor is kept here: the engine sends all rows at once and is free for another statement.
            out.writeByte(0).writeBytes(in, HEAD_BYTES - 1);
            if (params > 0) {
                copyParameters(in, out);
            }
            byte[] arguments = new byte[out.readableBytes()];
            out.readBytes(arguments);
            return new Work.Execute(schema, text, params, arguments, List.copyOf(longData));
        } catch (IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("they end early", e);
        } finally {
            out.release();
            longData.clear();
        }
    }

    private void copyParameters(ByteBuf in, ByteBuf out) {
        int nullBitmapBytes = (params + Byte.SIZE - 1) / Byte.SIZE;
        out.writeBytes(in, nullBitmapBytes);
        if (in.readByte() == TYPES_FOLLOW) {
            byte[] received = new byte[BYTES_PER_TYPE * params];
            in.readBytes(received);
            types = received;
        }
        if (types == null) {
            throw new IllegalArgumentException("no types of parameters");
        }
        out.writeByte(TYPES_FOLLOW).writeBytes(types).writeBytes(in);
    }
}
