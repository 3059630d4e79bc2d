package lineward.spool.store;

import static lineward.spool.store.UnusableSegmentException.check;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Encodes and decodes the fixed parts of a segment, without I/O. All numbers are big-endian.
 *
 * <pre>
 * header   magic(8) version(4) createdMs(8) crc(4)                             24 bytes
 * block    kind(1) zero(3) stored(4) raw(4) firstRow(8) rows(4) crc(4)         28 bytes, then the payload
 * trailer  footerOffset(8) magic(4) crc(4)                                     16 bytes
 * </pre>
 */
final class SegmentFormat {
    static final int VERSION = 1;
    static final int HEADER_BYTES = 24;
    static final int BLOCK_HEADER_BYTES = 28;
    static final int TRAILER_BYTES = 16;
    /** Size below which a segment can't be complete: header, header of the manifest's block, and trailer. */
    static final int MIN_COMPLETE_BYTES = HEADER_BYTES + BLOCK_HEADER_BYTES + TRAILER_BYTES;
    /** Maximum size of a block, raw or stored; a block of rows has less than 64 KB before its last row. */
    static final int MAX_BLOCK_BYTES = 64 << 20;

    private static final int CRC_BYTES = 4;
    private static final long MAGIC =
            ByteBuffer.wrap("LWSPOOL\n".getBytes(StandardCharsets.US_ASCII)).getLong();
    private static final int TRAILER_MAGIC = 0x4c57454e;

    /** The kind of a block, whose code is the first byte of the block. */
    enum Kind {
        RAW(0),
        LZ4(1),
        MANIFEST(2);

        private final byte code;

        Kind(int code) {
            this.code = (byte) code;
        }

        private static Kind of(byte code) throws UnusableSegmentException {
            for (Kind kind : values()) {
                if (kind.code == code) {
                    return kind;
                }
            }
            throw new UnusableSegmentException(SegmentFault.CORRUPT, "a block of an unknown kind");
        }
    }

    /**
     * The header of a block.
     *
     * @param storedBytes bytes of the payload in the file
     * @param rawBytes bytes of the payload when decompressed
     * @param crc CRC32C of the other fields and the payload
     */
    record BlockHeader(Kind kind, int storedBytes, int rawBytes, long firstRow, int rows, int crc) {
        private boolean isWithinBounds() {
            return isValidLength(storedBytes) && isValidLength(rawBytes) && firstRow >= 0 && rows >= 0;
        }

        private static boolean isValidLength(int bytes) {
            return bytes >= 0 && bytes <= MAX_BLOCK_BYTES;
        }
    }

    private SegmentFormat() {}

    /** Returns a segment's header. */
    static ByteBuffer header(long createdMs) {
        ByteBuffer header =
                ByteBuffer.allocate(HEADER_BYTES).putLong(MAGIC).putInt(VERSION).putLong(createdMs);
        return header.putInt(crc(header, HEADER_BYTES - CRC_BYTES)).flip();
    }

    /**
     * Returns when the segment was created, in Unix milliseconds.
     *
     * @throws UnusableSegmentException if this is not the header of a segment of the supported version
     */
    static long decodeHeader(ByteBuffer header) throws UnusableSegmentException {
        check(header.remaining() >= HEADER_BYTES && header.getLong(0) == MAGIC, "it is no segment");
        int version = header.getInt(8);
        if (version != VERSION) {
            throw new UnusableSegmentException(
                    SegmentFault.UNKNOWN_VERSION, "its version is " + version + ", known is " + VERSION);
        }
        int crcOffset = HEADER_BYTES - CRC_BYTES;
        check(header.getInt(crcOffset) == crc(header, crcOffset), "its head is spoilt");
        return header.getLong(12);
    }

    /** Returns the stored form of a block: its header and payload. */
    static ByteBuffer block(Kind kind, ByteBuffer payload, int rawBytes, long firstRow, int rows) {
        int storedBytes = payload.remaining();
        ByteBuffer block = ByteBuffer.allocate(BLOCK_HEADER_BYTES + storedBytes);
        block.put(kind.code)
                .put(new byte[3])
                .putInt(storedBytes)
                .putInt(rawBytes)
                .putLong(firstRow)
                .putInt(rows)
                .putInt(0)
                .put(payload.duplicate());
        return block.putInt(BLOCK_HEADER_BYTES - CRC_BYTES, blockCrc(block, storedBytes))
                .flip();
    }

    /**
     * Returns the header of the block at the buffer's position; does not move the position.
     *
     * @throws UnusableSegmentException if this is not a block's header
     */
    static BlockHeader decodeBlockHeader(ByteBuffer block) throws UnusableSegmentException {
        check(block.remaining() >= BLOCK_HEADER_BYTES, "a block ends early");
        int start = block.position();
        BlockHeader header = new BlockHeader(
                Kind.of(block.get(start)),
                block.getInt(start + 4),
                block.getInt(start + 8),
                block.getLong(start + 12),
                block.getInt(start + 20),
                block.getInt(start + 24));
        check(header.isWithinBounds(), "a block's head is spoilt");
        return header;
    }

    /**
     * Checks a block that fills the whole buffer.
     *
     * @throws UnusableSegmentException if its length or checksum does not match its header
     */
    static void verify(ByteBuffer block, BlockHeader header) throws UnusableSegmentException {
        check(block.remaining() == BLOCK_HEADER_BYTES + header.storedBytes, "a block ends early");
        check(blockCrc(block, header.storedBytes) == header.crc, "a block is spoilt");
    }

    /** Returns a segment's trailer, which marks it as complete. */
    static ByteBuffer trailer(long footerOffset) {
        ByteBuffer trailer =
                ByteBuffer.allocate(TRAILER_BYTES).putLong(footerOffset).putInt(TRAILER_MAGIC);
        return trailer.putInt(crc(trailer, TRAILER_BYTES - CRC_BYTES)).flip();
    }

    /**
     * Returns the offset of the block with the manifest.
     *
     * @throws UnusableSegmentException if this is not a trailer
     */
    static long decodeTrailer(ByteBuffer trailer) throws UnusableSegmentException {
        boolean isTrailer = trailer.remaining() == TRAILER_BYTES && trailer.getInt(8) == TRAILER_MAGIC;
        int crcOffset = TRAILER_BYTES - CRC_BYTES;
        check(isTrailer && trailer.getInt(crcOffset) == crc(trailer, crcOffset), "it was never completed");
        return trailer.getLong(0);
    }

    private static int blockCrc(ByteBuffer block, int storedBytes) {
        CRC32C crc = new CRC32C();
        crc.update(block.slice(0, BLOCK_HEADER_BYTES - CRC_BYTES));
        crc.update(block.slice(BLOCK_HEADER_BYTES, storedBytes));
        return (int) crc.getValue();
    }

    private static int crc(ByteBuffer bytes, int length) {
        CRC32C crc = new CRC32C();
        crc.update(bytes.slice(0, length));
        return (int) crc.getValue();
    }
}
