package lineward.mysql.session;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import lineward.mysql.wire.Latin1Texts;

/**
 * A command that an attempt executes at an engine; schemas and texts are encoded as in {@link Latin1Texts}.
 */
public sealed interface Work {
    /** Returns the schema of the session; empty if the client has selected none. */
    String schema();

    /**
     * Returns the number of bytes that the command uses in memory until it is answered, without the schema.
     */
    long sizeBytes();

    /** Returns whether the command may change the engine's session, so that its connection must be closed. */
    default boolean changesSession() {
        return false;
    }

    private static boolean changesSession(String latin1) {
        StatementKind kind = StatementKind.of(Latin1Texts.decode(latin1));
        return kind instanceof StatementKind.Write write && write.changesSession();
    }

    /** Executes a statement as text (COM_QUERY). */
    record TextQuery(String schema, String text) implements Work {
        @Override
        public boolean changesSession() {
            return Work.changesSession(text);
        }

        @Override
        public long sizeBytes() {
            return text.length();
        }

        /** Returns a digest of the schema and the text; a spooled result with a key stores it. */
        public String digest() {
            return Work.digest(List.of(bytes(schema), bytes(text)));
        }
    }

    /** Prepares a statement (COM_STMT_PREPARE); the reply describes its parameters and columns. */
    record Prepare(String schema, String text) implements Work {
        @Override
        public long sizeBytes() {
            return text.length();
        }
    }

    /**
     * Executes a prepared statement (COM_STMT_EXECUTE). The engine's connection prepares it first if
     * necessary.
     *
     * @param parameterCount number of parameters that the reply to the client's COM_STMT_PREPARE contained
     * @param arguments the payload after the statement's id; includes the types of the parameters, if any
     */
    @SuppressWarnings("ArrayRecordComponent") // Records are not compared and the arrays never change.
    record Execute(String schema, String text, int parameterCount, byte[] arguments, List<LongData> longData)
            implements Work {
        @Override
        public boolean changesSession() {
            return Work.changesSession(text);
        }

        @Override
        public long sizeBytes() {
            long longDataBytes =
                    longData.stream().mapToLong(data -> data.bytes().length).sum();
            return text.length() + arguments.length + longDataBytes;
        }

        /** Returns a digest of the schema, the text and all arguments, see {@link TextQuery#digest}. */
        public String digest() {
            return Work.digest(List.of(bytes(schema), bytes(text), arguments, longDataBytes()));
        }

        private byte[] longDataBytes() {
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            for (LongData data : longData) {
                joined.write(data.parameterIndex());
                joined.writeBytes(data.bytes());
            }
            return joined.toByteArray();
        }
    }

    /** Selects the schema of the session (COM_INIT_DB). */
    record UseSchema(String schema) implements Work {
        @Override
        public long sizeBytes() {
            return 0;
        }
    }

    private static byte[] bytes(String latin1) {
        return latin1.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String digest(List<byte[]> inputs) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] input : inputs) {
                ByteBuffer length = ByteBuffer.allocate(Integer.BYTES).putInt(input.length);
                digest.update(length.array());
                digest.update(input);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /**
     * A part of the value of a long parameter, which is sent before the execution (COM_STMT_SEND_LONG_DATA).
     *
     * @param parameterIndex index of the parameter, from 0
     */
    @SuppressWarnings("ArrayRecordComponent") // Records are not compared and the arrays never change.
    record LongData(int parameterIndex, byte[] bytes) {}
}
