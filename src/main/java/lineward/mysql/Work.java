package lineward.mysql;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;

/** What one attempt has an engine do. Texts are Latin-1 strings of the client's bytes. */
sealed interface Work {
    /** The schema in which it runs; empty where the client chose none. */
    String schema();

    /** Returns whether it may change the engine's session unnoticed: its connection can't be reused. */
    default boolean leavesTraces() {
        return false;
    }

    private static boolean leavesTraces(String latin1) {
        return StatementKind.of(Texts.utf8(latin1)) instanceof StatementKind.Write w && w.leavesTraces();
    }

    /** Runs a text. */
    record Query(String schema, String text) implements Work {
        @Override
        public boolean leavesTraces() {
            return Work.leavesTraces(text);
        }

        /** Returns a digest of all that its result depends on. */
        String digest() {
            return Work.digest(List.of(bytes(schema), bytes(text)));
        }
    }

    /** Prepares a text, of which the client learns the parameters and columns. */
    record Prepare(String schema, String text) implements Work {}

    /**
     * Prepares a text anew, unless this engine's connection has it, and runs it.
     *
     * @param params number of parameters that the client knows of
     * @param arguments what follows the statement's id, with the types always in place
     */
    @SuppressWarnings("ArrayRecordComponent") // Never compared, and its array never changes.
    record Execute(
            String schema,
            String text,
            int params,
            byte[] arguments, // as they are sent
            List<LongData> longData)
            implements Work {
        @Override
        public boolean leavesTraces() {
            return Work.leavesTraces(text);
        }

        /** Returns a digest of all that its result depends on. */
        String digest() {
            return Work.digest(List.of(bytes(schema), bytes(text), arguments, longDataBytes()));
        }

        private byte[] longDataBytes() {
            ByteArrayOutputStream joined = new ByteArrayOutputStream();
            for (LongData data : longData) {
                joined.write(data.param());
                joined.writeBytes(data.bytes());
            }
            return joined.toByteArray();
        }
    }

    /** Chooses the schema. */
    record UseSchema(String schema) implements Work {}

    private static byte[] bytes(String latin1) {
        return latin1.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String digest(List<byte[]> parts) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (byte[] part : parts) {
                digest.update(
                        ByteBuffer.allocate(Integer.BYTES).putInt(part.length).array());
                digest.update(part);
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** A piece of a parameter sent ahead of the execution. */
    @SuppressWarnings("ArrayRecordComponent") // Never compared, and its array never changes.
    record LongData(int param, byte[] bytes) {}
}
