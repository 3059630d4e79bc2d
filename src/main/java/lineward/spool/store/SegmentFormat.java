package lineward.spool.store;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * The bytes of a segment, free of I/O. All numbers are big-endian.
 *
 * <pre>
 * head     magic(8) version(4) createdMs(8) crc(4)                             24 bytes
 * block    kind(1) zero(3) stored(4) raw(4) firstRow(8) rows(4) crc(4)         28 bytes, then the payload
 * trailer  footerAt(8) magic(4) crc(4)                                         16 bytes
 * </pre>
 */
final class SegmentFormat {
    static final int VERSION = 1;
    static final int HEAD = 24;
    static final int BLOCK_HEAD = 28;
    static final int TRAILER = 16;
    /** Of a block, raw or stored: a block is 64 KB and one row at most. */
    static final int LARGEST = 64 << 20;

    private static final long MAGIC =
            ByteBuffer.wrap("LWSPOOL\n".getBytes(StandardCharsets.US_ASCII)).getLong();
    private static final int TRAILER_MAGIC = 0x4c57454e;

    /** What a block holds. */
    enum Kind {
        RAW,
        LZ4,
        MANIFEST
    }

    /**
     * A block's head.
     *
     * @param stored bytes of the payload in the file
     * @param raw bytes of it once it is unpacked
     */
    record BlockHead(Kind kind, int stored, int raw, long firstRow, int rows, int crc) {}

    private SegmentFormat() {}

    static ByteBuffer head(long createdMs) {
        ByteBuffer out =
                ByteBuffer.allocate(HEAD).putLong(MAGIC).putInt(VERSION).putLong(createdMs);
        return out.putInt(crc(out.array(), 0, HEAD - 4)).flip();
    }

    /**
     * @return when the segment was begun, in Unix milliseconds
     * @throws CorruptSegmentException if these are not the first bytes of a segment of a version known here
     */
    static long readHead(ByteBuffer in) throws CorruptSegmentException {
        check(in.remaining() >= HEAD && in.getLong(0) == MAGIC, "it is no segment");
        check(in.getInt(8) == VERSION, "its version is " + in.getInt(8) + ", known is " + VERSION);
        check(in.getInt(HEAD - 4) == crc(bytes(in, HEAD - 4), 0, HEAD - 4), "its head is spoilt");
        return in.getLong(12);
    }

    /** Returns head and payload of a block, ready to be written. */
    static ByteBuffer block(Kind kind, byte[] payload, int stored, int raw, long firstRow, int rows) {
        ByteBuffer out = ByteBuffer.allocate(BLOCK_HEAD + stored);
        out.put((byte) kind.ordinal())
                .put(new byte[3])
                .putInt(stored)
                .putInt(raw)
                .putLong(firstRow)
                .putInt(rows)
                .putInt(0)
                .put(payload, 0, stored);
        CRC32C crc = new CRC32C();
        crc.update(out.array(), 0, BLOCK_HEAD - 4);
        crc.update(out.array(), BLOCK_HEAD, stored);
        return out.putInt(BLOCK_HEAD - 4, (int) crc.getValue()).flip();
    }

    static BlockHead readBlockHead(ByteBuffer in) throws CorruptSegmentException {
        check(in.remaining() >= BLOCK_HEAD, "a block ends early");
        int at = in.position();
        int kind = in.get(at);
        check(kind >= 0 && kind < Kind.values().length, "a block of an unknown kind");
        BlockHead head = new BlockHead(
                Kind.values()[kind],
                in.getInt(at + 4),
                in.getInt(at + 8),
                in.getLong(at + 12),
                in.getInt(at + 20),
                in.getInt(at + 24));
        check(
                head.stored >= 0
                        && head.stored <= LARGEST
                        && head.raw >= 0
                        && head.raw <= LARGEST
                        && head.firstRow >= 0
                        && head.rows >= 0,
                "a block's head is spoilt");
        return head;
    }

    /** @throws CorruptSegmentException if head and payload do not belong together, to the bit */
    static void verify(ByteBuffer block, BlockHead head) throws CorruptSegmentException {
        check(block.remaining() == BLOCK_HEAD + head.stored, "a block ends early");
        CRC32C crc = new CRC32C();
        crc.update(block.array(), 0, BLOCK_HEAD - 4);
        crc.update(block.array(), BLOCK_HEAD, head.stored);
        check((int) crc.getValue() == head.crc, "a block is spoilt");
    }

    static ByteBuffer trailer(long footerAt) {
        ByteBuffer out = ByteBuffer.allocate(TRAILER).putLong(footerAt).putInt(TRAILER_MAGIC);
        return out.putInt(crc(out.array(), 0, TRAILER - 4)).flip();
    }

    /** Returns where the manifest's block begins. */
    static long readTrailer(ByteBuffer in) throws CorruptSegmentException {
        check(
                in.remaining() == TRAILER
                        && in.getInt(8) == TRAILER_MAGIC
                        && in.getInt(12) == crc(bytes(in, TRAILER - 4), 0, TRAILER - 4),
                "it was never completed");
        return in.getLong(0);
    }

    static void check(boolean holds, String otherwise) throws CorruptSegmentException {
        if (!holds) {
            throw new CorruptSegmentException(otherwise);
        }
    }

    private static byte[] bytes(ByteBuffer in, int length) {
        byte[] bytes = new byte[length];
        in.get(0, bytes);
        return bytes;
    }

    private static int crc(byte[] bytes, int from, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, from, length);
        return (int) crc.getValue();
    }
}
