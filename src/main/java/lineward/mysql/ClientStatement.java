package lineward.mysql;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/** A statement that a client has prepared: the front keeps its text, as any engine may have to run it. */
final class ClientStatement {
    private static final int HEAD = 5;
    private static final int READ_ONLY = 1;

    final String schema;
    /** Without the hint. */
    final String text;

    final SpoolHint hint;
    final int params;
    final int kept;
    /** Null: none was ever opened. */
    OpenCursor cursor;

    private final List<Work.LongData> longData = new ArrayList<>();
    private byte[] types;

    /** @param kept bytes that its text is booked with */
    ClientStatement(String schema, SpoolHint hint, int params, int kept) {
        this.schema = schema;
        this.text = hint.statement();
        this.kept = kept;
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
        return arguments.isReadable() && arguments.getByte(arguments.readerIndex()) == READ_ONLY;
    }

    void add(Work.LongData data) {
        longData.add(data);
    }

    int longBytes() {
        return longData.stream().mapToInt(d -> d.bytes().length).sum();
    }

    /** Drops the pieces sent ahead, and the cursor. */
    void reset() {
        longData.clear();
        closeCursor();
    }

    /**
     * Takes the arguments of an execution. A client gives the types of its parameters once; whichever engine
     * runs the statement has not heard them, so they always go along.
     *
     * @param in what follows the statement's id
     * @throws IllegalArgumentException with a plain reason if they can't be used
     */
    Work.Execute execute(ByteBuf in) {
        ByteBuf out = in.alloc().heapBuffer(in.readableBytes() + 2 * params + 1);
        try {
            int flags = in.readUnsignedByte();
            if (flags > READ_ONLY) {
                throw new IllegalArgumentException("only read-only cursors are supported");
            }
            // The cursor is the front's own: the engine is to send all rows and be free.
            out.writeByte(0).writeBytes(in, HEAD - 1);
            if (params > 0) {
                out.writeBytes(in, (params + 7) / 8);
                if (in.readByte() == 1) {
                    byte[] told = new byte[2 * params];
                    in.readBytes(told);
                    types = told;
                }
                if (types == null) {
                    throw new IllegalArgumentException("no types of parameters");
                }
                out.writeByte(1).writeBytes(types).writeBytes(in);
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
}
