package lineward.spool.store;

import static lineward.spool.store.UnusableSegmentException.check;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Set;

/** The file of one result. Each call opens the file, does blocking I/O and closes the file. */
public final class Segment {
    /**
     * Where a block is stored.
     *
     * @param offset offset of its first byte in the file
     * @param storedBytes bytes in the file, including the block's header
     * @param firstRow number of its first row in the result, from 0
     * @param rows number of its rows
     * @param rawBytes bytes when decompressed, without the block's header
     */
    public record Extent(long offset, int storedBytes, long firstRow, int rows, int rawBytes) {}

    /**
     * A complete result that was found in a file.
     *
     * @param blocks locations of the blocks, in order
     * @param fileBytes length of the file
     */
    public record Result(Segment segment, Manifest manifest, List<Extent> blocks, long fileBytes) {}

    private final Path path;
    /** Length of the file, and offset of the next block. */
    private long length;

    Segment(Path path) {
        this.path = path;
    }

    /** Returns the file. */
    public Path path() {
        return path;
    }

    /** Returns the current length of the file, in bytes. */
    public long length() {
        return length;
    }

    /** Creates the file, which must not exist yet. */
    void create(long createdMs) throws IOException {
        Set<OpenOption> options = Set.of(StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
        try (FileChannel channel = FileChannel.open(path, options)) {
            writeFully(channel, SegmentFormat.header(createdMs), 0);
        }
        length = SegmentFormat.HEADER_BYTES;
    }

    /** Appends a block of rows, compressed if that saves space, and returns where it is stored. */
    Extent append(byte[] raw, long firstRow, int rows) throws IOException {
        BlockCodec.EncodedBlock encoded = BlockCodec.encode(raw);
        ByteBuffer block = SegmentFormat.block(encoded.kind(), encoded.payload(), raw.length, firstRow, rows);
        Extent location = new Extent(length, block.remaining(), firstRow, rows, raw.length);
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
            writeFully(channel, block, length);
        }
        length += location.storedBytes();
        return location;
    }

    /** Writes the manifest and the index after the blocks, which completes the file, and syncs it to disk. */
    void complete(Manifest manifest, List<Extent> blocks) throws IOException {
        ByteBuffer footer = new SegmentFooter(manifest, blocks).encode();
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
            int footerBytes = footer.remaining();
            ByteBuffer block =
                    SegmentFormat.block(SegmentFormat.Kind.MANIFEST, footer, footerBytes, manifest.rows(), 0);
            long footerOffset = length;
            length += block.remaining();
            writeFully(channel, block, footerOffset);
            writeFully(channel, SegmentFormat.trailer(footerOffset), length);
            length += SegmentFormat.TRAILER_BYTES;
            // The result must survive a power failure, as its client may read it afterwards.
            channel.force(false);
        }
    }

    /**
     * Returns the bytes of a block, decompressed.
     *
     * @throws UnusableSegmentException if the block's bytes differ from those that were written
     */
    public byte[] read(Extent location) throws IOException {
        ByteBuffer block = ByteBuffer.allocate(location.storedBytes());
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            readFully(channel, block, location.offset());
        }
        return decode(block.flip(), location);
    }

    private static byte[] decode(ByteBuffer block, Extent location) throws UnusableSegmentException {
        SegmentFormat.BlockHeader header = SegmentFormat.decodeBlockHeader(block);
        SegmentFormat.verify(block, header);
        check(isBlockAt(location, header), "a block stands at another's place");
        ByteBuffer payload = block.slice(SegmentFormat.BLOCK_HEADER_BYTES, header.storedBytes());
        return BlockCodec.decode(header.kind(), payload, header.rawBytes());
    }

    private static boolean isBlockAt(Extent location, SegmentFormat.BlockHeader header) {
        return header.kind() != SegmentFormat.Kind.MANIFEST
                && header.firstRow() == location.firstRow()
                && header.rows() == location.rows()
                && header.rawBytes() == location.rawBytes();
    }

    /**
     * Opens an existing file and checks its header, trailer, manifest and index. A block is checked only when
     * it is read.
     *
     * @throws UnusableSegmentException if it is not a complete result
     */
    static Result open(Path path) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            long size = channel.size();
            checkHeader(channel, size);
            long footerOffset = readTrailer(channel, size);
            SegmentFooter footer = readFooter(channel, footerOffset, size);
            Segment segment = new Segment(path);
            segment.length = size;
            return new Result(segment, footer.manifest(), footer.blocks(), size);
        }
    }

    private static void checkHeader(FileChannel channel, long size) throws IOException {
        check(size >= SegmentFormat.HEADER_BYTES, "it is cut within its head");
        SegmentFormat.decodeHeader(read(channel, 0, SegmentFormat.HEADER_BYTES));
        check(size >= SegmentFormat.MIN_COMPLETE_BYTES, "it was never completed");
    }

    private static long readTrailer(FileChannel channel, long size) throws IOException {
        long trailerOffset = size - SegmentFormat.TRAILER_BYTES;
        ByteBuffer trailer = read(channel, trailerOffset, SegmentFormat.TRAILER_BYTES);
        long footerOffset = SegmentFormat.decodeTrailer(trailer);
        boolean isInFile = footerOffset >= SegmentFormat.HEADER_BYTES
                && footerOffset <= trailerOffset - SegmentFormat.BLOCK_HEADER_BYTES;
        check(isInFile && size - footerOffset <= SegmentFormat.MAX_BLOCK_BYTES, "its trailer is spoilt");
        return footerOffset;
    }

    private static SegmentFooter readFooter(FileChannel channel, long offset, long size) throws IOException {
        int length = (int) (size - SegmentFormat.TRAILER_BYTES - offset);
        ByteBuffer block = read(channel, offset, length);
        SegmentFormat.BlockHeader header = SegmentFormat.decodeBlockHeader(block);
        SegmentFormat.verify(block, header);
        check(header.kind() == SegmentFormat.Kind.MANIFEST, "it has no manifest");
        return SegmentFooter.decode(block.position(SegmentFormat.BLOCK_HEADER_BYTES), offset);
    }

    /** Deletes the file if it exists. */
    void delete() throws IOException {
        Files.deleteIfExists(path);
    }

    private static ByteBuffer read(FileChannel channel, long offset, int length) throws IOException {
        ByteBuffer buffer = ByteBuffer.allocate(length);
        readFully(channel, buffer, offset);
        return buffer.flip();
    }

    private static void writeFully(FileChannel channel, ByteBuffer buffer, long offset) throws IOException {
        long position = offset;
        while (buffer.hasRemaining()) {
            position += channel.write(buffer, position);
        }
    }

    private static void readFully(FileChannel channel, ByteBuffer buffer, long offset) throws IOException {
        long position = offset;
        while (buffer.hasRemaining()) {
            int read = channel.read(buffer, position);
            if (read < 0) {
                throw new EOFException("the file ends early");
            }
            position += read;
        }
    }
}
