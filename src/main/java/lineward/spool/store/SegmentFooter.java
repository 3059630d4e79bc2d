package lineward.spool.store;

import static lineward.spool.store.UnusableSegmentException.check;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The payload of a segment's last block: the manifest as JSON and the index of all blocks before it.
 *
 * @param blocks locations of the blocks in order, without gaps from the header to this block
 */
record SegmentFooter(Manifest manifest, List<Segment.Extent> blocks) {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int LENGTH_BYTES = 4;
    private static final int INDEX_ENTRY_BYTES = 28;

    /** Returns the stored form of this footer. */
    ByteBuffer encode() throws IOException {
        byte[] json = JSON.writeValueAsBytes(manifest);
        int indexBytes = LENGTH_BYTES + blocks.size() * INDEX_ENTRY_BYTES;
        ByteBuffer footer = ByteBuffer.allocate(LENGTH_BYTES + json.length + indexBytes);
        footer.putInt(json.length).put(json).putInt(blocks.size());
        blocks.forEach(block -> footer.putLong(block.offset())
                .putInt(block.storedBytes())
                .putLong(block.firstRow())
                .putInt(block.rows())
                .putInt(block.rawBytes()));
        return footer.flip();
    }

    /**
     * Decodes the footer at the buffer's position.
     *
     * @param footerOffset offset of the footer's block in the file, where the last indexed block must end
     * @throws UnusableSegmentException if the index has a gap or does not end at the footer
     */
    static SegmentFooter decode(ByteBuffer footer, long footerOffset) throws IOException {
        byte[] json = new byte[footer.getInt()];
        footer.get(json);
        Manifest manifest = JSON.readValue(json, Manifest.class);
        int count = footer.getInt();
        List<Segment.Extent> blocks = new ArrayList<>(count);
        long offset = SegmentFormat.HEADER_BYTES;
        long row = 0;
        for (int i = 0; i < count; i++) {
            Segment.Extent block = readEntry(footer);
            check(block.offset() == offset && block.firstRow() == row, "its index has a gap");
            offset += block.storedBytes();
            row += block.rows();
            blocks.add(block);
        }
        check(offset == footerOffset && row == manifest.rows(), "its index has a gap at the end");
        return new SegmentFooter(manifest, blocks);
    }

    private static Segment.Extent readEntry(ByteBuffer footer) {
        long offset = footer.getLong();
        int storedBytes = footer.getInt();
        long firstRow = footer.getLong();
        int rows = footer.getInt();
        int rawBytes = footer.getInt();
        return new Segment.Extent(offset, storedBytes, firstRow, rows, rawBytes);
    }
}
