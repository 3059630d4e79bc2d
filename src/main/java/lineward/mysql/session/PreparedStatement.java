package lineward.mysql.session;

import io.netty.buffer.ByteBuf;
import lineward.core.ByteBudget;

/** A prepared statement of a client. It keeps the text, so that any engine can prepare and execute it. */
public final class PreparedStatement {
    /** Bytes of the flags and the iteration count at the start of the arguments. */
    private static final int FLAGS_AND_ITERATION_COUNT_BYTES = 5;

    private static final int NO_CURSOR = 0;
    private static final int READ_ONLY_CURSOR = 1;
    private static final int TYPES_FOLLOW = 1;
    private static final int BYTES_PER_TYPE = 2;

    private final String schema;
    private final SpoolHint hint;
    private final int parameterCount;
    private final LongParameters longParameters;
    /** Null if no cursor was opened since the last reset or execution. */
    private StatementCursor cursor;
    /** Types of the parameters; null until the client sends them with an execution. */
    private byte[] parameterTypes;

    /** @param memory the budget from which the memory of long parameters is reserved */
    PreparedStatement(String schema, SpoolHint hint, int parameterCount, ByteBudget memory) {
        this.schema = schema;
        this.hint = hint;
        this.parameterCount = parameterCount;
        this.longParameters = new LongParameters(memory);
    }

    /** Returns the memory that a statement uses beside its text and long parameters, in bytes. */
    static long memoryBytes(int parameterCount) {
        return (long) BYTES_PER_TYPE * parameterCount;
    }

    /** Returns the text without the hint. */
    public String text() {
        return hint.textWithoutHint();
    }

    /** Returns the hint in the statement's text. */
    public SpoolHint hint() {
        return hint;
    }

    int parameterCount() {
        return parameterCount;
    }

    /** Returns whether rows can be fetched from a cursor. */
    public boolean hasOpenCursor() {
        return cursor != null && !cursor.isDone();
    }

    /** Returns the cursor; requires {@link #hasOpenCursor}. */
    public StatementCursor cursor() {
        return cursor;
    }

    /** Closes the current cursor, if any, and replaces it. */
    public void replaceCursor(StatementCursor opened) {
        closeCursor();
        cursor = opened;
    }

    /** Closes the cursor, if there is one. */
    public void closeCursor() {
        if (cursor != null) {
            cursor.close();
            cursor = null;
        }
    }

    /** Returns whether an execution with these arguments opens a read-only cursor. */
    public static boolean requestsCursor(ByteBuf arguments) {
        return arguments.isReadable() && arguments.getByte(arguments.readerIndex()) == READ_ONLY_CURSOR;
    }

    /** Returns the long parameters for the next execution. */
    public LongParameters longParameters() {
        return longParameters;
    }

    /** Discards the long parameters for the next execution, and closes the cursor. */
    public void reset() {
        longParameters.clear();
        closeCursor();
    }

    /**
     * Returns the command that executes the statement with these arguments, and discards the long parameters.
     * A client has to send the types of the parameters only with the first execution. They are added to every
     * later one, because it may be the first on its engine.
     *
     * @param arguments the payload after the statement's id
     * @throws IllegalArgumentException if the arguments are malformed or request another kind of cursor
     */
    public Work.Execute createExecution(ByteBuf arguments) {
        int maxBytes = arguments.readableBytes() + BYTES_PER_TYPE * parameterCount + 1;
        ByteBuf forwarded = arguments.alloc().heapBuffer(maxBytes);
        try {
            int flags = arguments.readUnsignedByte();
            if (flags > READ_ONLY_CURSOR) {
                throw new IllegalArgumentException("only read-only cursors are supported");
            }
            // The engine sends all rows at once and is then free; the spool provides the client's cursor.
            forwarded.writeByte(NO_CURSOR).writeBytes(arguments, FLAGS_AND_ITERATION_COUNT_BYTES - 1);
            if (parameterCount > 0) {
                copyParameters(arguments, forwarded);
            }
            byte[] bytes = new byte[forwarded.readableBytes()];
            forwarded.readBytes(bytes);
            return new Work.Execute(schema, text(), parameterCount, bytes, longParameters.values());
        } catch (IndexOutOfBoundsException e) {
            throw new IllegalArgumentException("they end early", e);
        } finally {
            forwarded.release();
            longParameters.clear();
        }
    }

    private void copyParameters(ByteBuf arguments, ByteBuf forwarded) {
        int nullBitmapBytes = (parameterCount + Byte.SIZE - 1) / Byte.SIZE;
        forwarded.writeBytes(arguments, nullBitmapBytes);
        if (arguments.readByte() == TYPES_FOLLOW) {
            byte[] receivedTypes = new byte[BYTES_PER_TYPE * parameterCount];
            arguments.readBytes(receivedTypes);
            parameterTypes = receivedTypes;
        }
        if (parameterTypes == null) {
            throw new IllegalArgumentException("no types of parameters");
        }
        forwarded.writeByte(TYPES_FOLLOW).writeBytes(parameterTypes).writeBytes(arguments);
    }
}
