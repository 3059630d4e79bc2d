package lineward.spool.store;

import net.jpountz.lz4.LZ4Compressor;
import net.jpountz.lz4.LZ4Exception;
import net.jpountz.lz4.LZ4Factory;
import net.jpountz.lz4.LZ4SafeDecompressor;

/**
 * Packs blocks by LZ4, in Java alone: no native library is unpacked and no memory is held beside the heap.
 * The decompressor is the one that checks its bounds, as a file may hold anything.
 */
final class BlockCodec {
    /** Packed blocks must save one part in so many, or they stay as they are. */
    private static final int LEAST_SAVING = 8;

    private static final LZ4Compressor COMPRESSOR = LZ4Factory.safeInstance().fastCompressor();
    private static final LZ4SafeDecompressor DECOMPRESSOR =
            LZ4Factory.safeInstance().safeDecompressor();

    /** @param length bytes of the array that count */
    record Packed(SegmentFormat.Kind kind, byte[] bytes, int length) {}

    private BlockCodec() {}

    static Packed pack(byte[] raw) {
        byte[] out = new byte[COMPRESSOR.maxCompressedLength(raw.length)];
        int length = COMPRESSOR.compress(raw, 0, raw.length, out, 0, out.length);
        return length <= raw.length - raw.length / LEAST_SAVING
                ? new Packed(SegmentFormat.Kind.LZ4, out, length)
                : new Packed(SegmentFormat.Kind.RAW, raw, raw.length);
    }

    static byte[] unpack(SegmentFormat.Kind kind, byte[] in, int from, int stored, int raw)
            throws CorruptSegmentException {
        byte[] out = new byte[raw];
        if (kind != SegmentFormat.Kind.LZ4) {
            SegmentFormat.check(stored == raw, "a block has not its length");
            System.arraycopy(in, from, out, 0, raw);
            return out;
        }
        try {
            int length = DECOMPRESSOR.decompress(in, from, stored, out, 0, raw);
            SegmentFormat.check(length == raw, "a block has not its length");
            return out;
        } catch (LZ4Exception e) {
            throw new CorruptSegmentException("a block can't be unpacked");
        }
    }
}
