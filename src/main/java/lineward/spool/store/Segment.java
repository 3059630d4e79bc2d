package lineward.spool.store;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/** One result on file. Every call opens the file, does its work and closes it; all of them block. */
public final class Segment {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int INDEX_ENTRY = 28;

    /**
     * Where a block stands.
     *
     * @param at its first byte in the file
     * @param bytes in the file, head included
     */
    public record Place(long at, int bytes, long firstRow, int rows, int raw) {}

    /**
     * A whole result as it was found on file.
     *
     * @param bytes of the file
     */
    public record Found(Segment segment, Manifest manifest, List<Place> blocks, long bytes) {}

    private final Path path;
    private long end;

    Segment(Path path) {
        this.path = path;
    }

    /** Returns the file. */
    public Path path() {
        return path;
    }

    /** Returns the length that the file has now. */
    public long length() {
        return end;
    }

    /** Makes the file; one of that name must not be there. */
    void create(long createdMs) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
            write(channel, SegmentFormat.head(createdMs), 0);
        }
        end = SegmentFormat.HEAD;
    }

    /** Appends a block of rows, packed where that helps. */
    Place append(byte[] raw, long firstRow, int rows) throws IOException {
        BlockCodec.Packed packed = BlockCodec.pack(raw);
        ByteBuffer block =
                SegmentFormat.block(packed.kind(), packed.bytes(), packed.length(), raw.length, firstRow, rows);
        Place place = new Place(end, block.remaining(), firstRow, rows, raw.length);
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
            write(channel, block, end);
        }
        end += place.bytes();
        return place;
    }

    /** Writes manifest and index behind the blocks: from then on the result is whole. */
    void complete(Manifest manifest, List<Place> blocks) throws IOException {
        byte[] json = JSON.writeValueAsBytes(manifest);
        ByteBuffer footer = ByteBuffer.allocate(8 + json.length + blocks.size() * INDEX_ENTRY);
        footer.putInt(json.length).put(json).putInt(blocks.size());
        blocks.forEach(b -> footer.putLong(b.at())
                .putInt(b.bytes())
                .putLong(b.firstRow())
                .putInt(b.rows())
                .putInt(b.raw()));
        BlockCodec.Packed packed =
                new BlockCodec.Packed(SegmentFormat.Kind.MANIFEST, footer.array(), footer.capacity());
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE)) {
            ByteBuffer block = SegmentFormat.block(
                    packed.kind(), packed.bytes(), packed.length(), packed.length(), manifest.rows(), 0);
            long at = end;
            end += block.remaining();
            write(channel, block, at);
            write(channel, SegmentFormat.trailer(at), end);
            end += SegmentFormat.TRAILER;
            // A client that comes back after a loss of power should find what it was told of.
            channel.force(false);
        }
    }

    /**
     * @return the bytes of a block, unpacked
     * @throws CorruptSegmentException if they are not what was written, to the bit
     */
    public byte[] read(Place place) throws IOException {
        ByteBuffer block = ByteBuffer.allocate(place.bytes());
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            readFully(channel, block, place.at());
        }
        return unpack(block.flip(), place);
    }

    private static byte[] unpack(ByteBuffer block, Place place) throws CorruptSegmentException {
        SegmentFormat.BlockHead head = SegmentFormat.readBlockHead(block);
        SegmentFormat.verify(block, head);
        SegmentFormat.check(
                head.kind() != SegmentFormat.Kind.MANIFEST
                        && head.firstRow() == place.firstRow()
                        && head.rows() == place.rows()
                        && head.raw() == place.raw(),
                "a block stands at another's place");
        return BlockCodec.unpack(head.kind(), block.array(), SegmentFormat.BLOCK_HEAD, head.stored(), head.raw());
    }

    /**
     * Takes a file in again: its head, trailer, manifest and index are checked here, each block when it is
     * read.
     *
     * @throws CorruptSegmentException if it is no whole result
     */
    static Found open(Path path) throws IOException {
        try (FileChannel channel = FileChannel.open(path, StandardOpenOption.READ)) {
            long size = channel.size();
            SegmentFormat.check(size >= SegmentFormat.HEAD, "it is cut within its head");
            ByteBuffer head = ByteBuffer.allocate(SegmentFormat.HEAD);
            readFully(channel, head, 0);
            SegmentFormat.readHead(head.flip());
            SegmentFormat.check(
                    size >= SegmentFormat.HEAD + SegmentFormat.BLOCK_HEAD + SegmentFormat.TRAILER,
                    "it was never completed");
            ByteBuffer trailer = ByteBuffer.allocate(SegmentFormat.TRAILER);
            readFully(channel, trailer, size - SegmentFormat.TRAILER);
            long at = SegmentFormat.readTrailer(trailer.flip());
            SegmentFormat.check(
                    at >= SegmentFormat.HEAD
                            && at <= size - SegmentFormat.TRAILER - SegmentFormat.BLOCK_HEAD
                            && size - at <= SegmentFormat.LARGEST,
                    "its trailer is spoilt");
            ByteBuffer footer = ByteBuffer.allocate((int) (size - SegmentFormat.TRAILER - at));
            readFully(channel, footer, at);
            SegmentFormat.BlockHead block = SegmentFormat.readBlockHead(footer.flip());
            SegmentFormat.verify(footer, block);
            SegmentFormat.check(block.kind() == SegmentFormat.Kind.MANIFEST, "it has no manifest");
            Segment segment = new Segment(path);
            segment.end = size;
            return index(segment, footer.position(SegmentFormat.BLOCK_HEAD), at);
        }
    }

    private static Found index(Segment segment, ByteBuffer in, long footerAt) throws IOException {
        byte[] json = new byte[in.getInt()];
        in.get(json);
        Manifest manifest = JSON.readValue(json, Manifest.class);
        int count = in.getInt();
        List<Place> blocks = new ArrayList<>(count);
        long at = SegmentFormat.HEAD;
        long row = 0;
        for (int i = 0; i < count; i++) {
            Place place = new Place(in.getLong(), in.getInt(), in.getLong(), in.getInt(), in.getInt());
            SegmentFormat.check(place.at() == at && place.firstRow() == row, "its index has a gap");
            at += place.bytes();
            row += place.rows();
            blocks.add(place);
        }
        SegmentFormat.check(at == footerAt && row == manifest.rows(), "its index has a gap at the end");
        return new Found(segment, manifest, blocks, segment.end);
    }

    void delete() throws IOException {
        Files.deleteIfExists(path);
    }

    private static void write(FileChannel channel, ByteBuffer bytes, long at) throws IOException {
        long to = at;
        while (bytes.hasRemaining()) {
            to += channel.write(bytes, to);
        }
    }

    private static void readFully(FileChannel channel, ByteBuffer into, long at) throws IOException {
        long from = at;
        while (into.hasRemaining()) {
            int read = channel.read(into, from);
            if (read < 0) {
                throw new EOFException("the file ends early");
            }
            from += read;
        }
    }
}
