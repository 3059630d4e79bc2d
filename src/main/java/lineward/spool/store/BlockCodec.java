package lineward.spool.store;

import java.nio.ByteBuffer;
import lineward.spool.store.SegmentFormat.Kind;
import net.jpountz.lz4.LZ4Compressor;
import net.jpountz.lz4.LZ4Exception;
import net.jpountz.lz4.LZ4Factory;
import net.jpountz.lz4.LZ4SafeDecompressor;

/**
 * Compresses blocks with the pure Java implementation of LZ4, which unpacks no native library and uses no
 * memory outside the heap. The decompressor is the one that checks bounds, as a file may contain anything.
 */
final class BlockCodec {
    /** A block is stored compressed only if that saves at least its length divided by this. */
    private static final int MIN_SAVING_DIVISOR = 8;

    private static final LZ4Compressor COMPRESSOR = LZ4Factory.safeInstance().fastCompressor();
    private static final LZ4SafeDecompressor DECOMPRESSOR =
            LZ4Factory.safeInstance().safeDecompressor();

    /** A payload in its stored form, from the buffer's position to its limit. */
    record EncodedBlock(Kind kind, ByteBuffer payload) {}

    private BlockCodec() {}

    /** Returns the block compressed, or unchanged if compression saves too little. */
    static EncodedBlock encode(byte[] raw) {
        byte[] compressed = new byte[COMPRESSOR.maxCompressedLength(raw.length)];
        int length = COMPRESSOR.compress(raw, 0, raw.length, compressed, 0, compressed.length);
        return length <= raw.length - raw.length / MIN_SAVING_DIVISOR
                ? new EncodedBlock(Kind.LZ4, ByteBuffer.wrap(compressed, 0, length))
                : new EncodedBlock(Kind.RAW, ByteBuffer.wrap(raw));
    }

    /**
     * Returns the decompressed bytes of a block.
     *
     * @param payload the stored bytes: all that remain in the buffer
     * @throws UnusableSegmentException if they don't decompress to exactly {@code rawBytes} bytes
     */
    static byte[] decode(Kind kind, ByteBuffer payload, int rawBytes) throws UnusableSegmentException {
        byte[] raw = new byte[rawBytes];
        int length = kind == Kind.LZ4 ? decompress(payload, raw) : copy(payload, raw);
        UnusableSegmentException.check(length == rawBytes, "a block has not its length");
        return raw;
    }

    private static int decompress(ByteBuffer payload, byte[] raw) throws UnusableSegmentException {
        try {
            return DECOMPRESSOR.decompress(
                    payload, payload.position(), payload.remaining(), ByteBuffer.wrap(raw), 0, raw.length);
        } catch (LZ4Exception e) {
            throw new UnusableSegmentException("a block can't be unpacked", e);
        }
    }

    private static int copy(ByteBuffer payload, byte[] raw) {
        int length = payload.remaining();
        payload.get(raw, 0, Math.min(length, raw.length));
        return length;
    }
}
