package lineward.spool.store;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that a stored segment of format version 1 can be read, and is still written to the same bytes. */
public class StoredSegmentTest {
    private static final String STORED = "stored-v1" + SpoolFolder.SEGMENT_SUFFIX;
    private static final long CREATED_MS = 1_790_000_000_000L;
    private static final Manifest MANIFEST =
            new Manifest("reporting", "orders/2026-11", "6b1f0c", CREATED_MS + 250, 30, 9200);

    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("stored");
    }

    @AfterMethod
    public void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        }
    }

    /** Returns a block before the rows, one that compresses, one that does not, and one after the rows. */
    private static List<byte[]> blocks() {
        byte[] repeated = new byte[6000];
        Arrays.fill(repeated, (byte) 'x');
        byte[] random = new byte[3000];
        new Random(11).nextBytes(random);
        return List.of(new byte[150], repeated, random, new byte[50]);
    }

    private static int rowCount(int block) {
        return List.of(0, 20, 10, 0).get(block);
    }

    private byte[] storedBytes() throws IOException {
        try (InputStream in = StoredSegmentTest.class.getResourceAsStream(STORED)) {
            return in.readAllBytes();
        }
    }

    private static Path write(Path folder) throws IOException {
        Segment segment = new Segment(folder.resolve(STORED));
        segment.create(CREATED_MS);
        List<Segment.Extent> locations = new ArrayList<>();
        long firstRow = 0;
        for (int i = 0; i < blocks().size(); i++) {
            locations.add(segment.append(blocks().get(i), firstRow, rowCount(i)));
            firstRow += rowCount(i);
        }
        segment.complete(MANIFEST, locations);
        return segment.path();
    }

    @Test
    public void storedSegmentIsRecoveredWithManifestIndexAndBlocks() throws IOException {
        Files.write(folder.resolve(STORED), storedBytes());
        try (SpoolFolder lockedFolder = SpoolFolder.acquire(folder)) {
            SpoolFolder.Contents contents = lockedFolder.recover();
            assertEquals(contents.unusable(), List.of());
            Segment.Result stored = contents.complete().get(0);
            assertEquals(stored.manifest(), MANIFEST);
            assertEquals(stored.fileBytes(), storedBytes().length);
            assertEquals(stored.blocks().size(), blocks().size());
            for (int i = 0; i < blocks().size(); i++) {
                Segment.Extent location = stored.blocks().get(i);
                assertEquals(location.rows(), rowCount(i));
                assertEquals(stored.segment().read(location), blocks().get(i));
            }
        }
    }

    @Test
    public void writtenSegmentEqualsStoredSegment() throws IOException {
        assertEquals(Files.readAllBytes(write(folder)), storedBytes());
    }

    /** Writes the resource file; was run once, with the version whose files must stay readable. */
    public static void main(String[] args) throws IOException {
        write(Path.of(args[0]));
    }
}
