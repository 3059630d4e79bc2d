package lineward.spool.store;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that truncated, corrupt, replaced or foreign segments never yield wrong bytes, and how a folder is
 * locked and recovered.
 */
public class SegmentTest {
    private Path folder;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("segments");
    }

    @AfterMethod
    public void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        }
    }

    private static List<byte[]> randomBlocks(Random random, int count) {
        List<byte[]> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] block = new byte[random.nextInt(3000)];
            if (random.nextBoolean()) {
                random.nextBytes(block);
            } else {
                Arrays.fill(block, (byte) i);
            }
            all.add(block);
        }
        return all;
    }

    private Path write(String name, List<byte[]> blocks) throws IOException {
        Segment segment = new Segment(folder.resolve(name + SpoolFolder.SEGMENT_SUFFIX));
        segment.create(1);
        List<Segment.Extent> locations = new ArrayList<>();
        for (int i = 0; i < blocks.size(); i++) {
            locations.add(segment.append(blocks.get(i), 10L * i, 10));
        }
        segment.complete(new Manifest("u", name, "d", 1, 10L * blocks.size(), 0), locations);
        return segment.path();
    }

    /** Returns whether the file is accepted and yields wrong bytes, or has another number of blocks. */
    private static boolean returnsWrongBytes(Path file, List<byte[]> blocks) {
        Segment.Result stored;
        try {
            stored = Segment.open(file);
        } catch (IOException | RuntimeException e) {
            return false;
        }
        for (int i = 0; i < stored.blocks().size(); i++) {
            try {
                if (!Arrays.equals(stored.segment().read(stored.blocks().get(i)), blocks.get(i))) {
                    return true;
                }
            } catch (IOException e) {
                // The corruption was detected, and no bytes were returned.
            }
        }
        return stored.blocks().size() != blocks.size();
    }

    @Test
    public void segmentTruncatedAtAnyByteIsIncomplete() throws IOException {
        List<byte[]> blocks = randomBlocks(new Random(1), 3);
        byte[] complete = Files.readAllBytes(write("a", blocks));
        Path truncated = folder.resolve("cut" + SpoolFolder.SEGMENT_SUFFIX);
        for (int length = 0; length < complete.length; length++) {
            Files.write(truncated, Arrays.copyOf(complete, length));
            assertThrows(IOException.class, () -> Segment.open(truncated));
        }
    }

    @Test
    public void corruptSegmentReturnsNoWrongBytes() throws IOException {
        int corruptFiles = 0;
        for (int seed = 0; seed < 1000; seed++) {
            Random random = new Random(seed);
            List<byte[]> blocks = randomBlocks(random, 1 + random.nextInt(5));
            byte[] bytes = Files.readAllBytes(write("s" + seed, blocks));
            int faultCount = 1 + random.nextInt(3);
            byte[] corrupt = bytes.clone();
            for (int i = 0; i < faultCount; i++) {
                int at = random.nextInt(corrupt.length);
                switch (random.nextInt(4)) {
                    case 0 -> corrupt[at] ^= (byte) (1 << random.nextInt(8));
                    case 1 -> corrupt = Arrays.copyOf(corrupt, at + 1);
                    case 2 -> Arrays.fill(corrupt, at, Math.min(corrupt.length, at + 512), (byte) 0);
                    default -> System.arraycopy(corrupt, 0, corrupt, at, Math.min(100, corrupt.length - at));
                }
            }
            Path file = folder.resolve("corrupt" + SpoolFolder.SEGMENT_SUFFIX);
            Files.write(file, corrupt);
            assertTrue(!returnsWrongBytes(file, blocks), "seed " + seed);
            corruptFiles += Arrays.equals(bytes, corrupt) ? 0 : 1;
        }
        assertTrue(corruptFiles > 900, "injected faults: " + corruptFiles);
    }

    @Test
    public void returnsWrongBytesDetectsAnotherBlock() throws IOException {
        List<byte[]> blocks = randomBlocks(new Random(2), 2);
        Path file = write("a", blocks);
        List<byte[]> otherBlocks = List.of(blocks.get(0), new byte[] {1, 2, 3});
        assertTrue(returnsWrongBytes(file, otherBlocks));
    }

    @DataProvider
    public Object[][] foreign() {
        String script = "#!/bin/sh\necho hello and much more text to fill the head";
        return new Object[][] {
            {new byte[0], "cut"},
            {new byte[100], "no segment"},
            {script.getBytes(StandardCharsets.US_ASCII), "no segment"},
            {SegmentFormat.header(1).putInt(8, 9).array(), "its version is 9"}
        };
    }

    @Test(dataProvider = "foreign")
    public void foreignFileIsRecognisedByItsHeader(byte[] bytes, String reason) throws IOException {
        Path file = folder.resolve("x" + SpoolFolder.SEGMENT_SUFFIX);
        Files.write(file, bytes);
        SpoolFolder.Contents contents = SpoolFolder.inspect(folder);
        assertEquals(contents.complete().size(), 0);
        assertTrue(
                contents.unusable().get(0).reason().contains(reason),
                contents.unusable().get(0).reason());
    }

    @Test
    public void recoveryKeepsCompleteResultsForeignFilesAndUnknownVersionsOnly() throws IOException {
        write("good", randomBlocks(new Random(3), 4));
        Segment partial = new Segment(folder.resolve("partial" + SpoolFolder.SEGMENT_SUFFIX));
        partial.create(1);
        partial.append(new byte[100], 0, 1);
        Files.writeString(folder.resolve("notes.txt"), "not ours");
        Files.write(
                folder.resolve("later" + SpoolFolder.SEGMENT_SUFFIX),
                SegmentFormat.header(1).putInt(8, 2).array());
        try (SpoolFolder lockedFolder = SpoolFolder.acquire(folder)) {
            SpoolFolder.Contents contents = lockedFolder.recover();
            assertEquals(contents.complete().size(), 1);
            assertEquals(contents.complete().get(0).manifest().key(), "good");
        }
        assertTrue(Files.exists(folder.resolve("notes.txt")));
        assertTrue(Files.exists(folder.resolve("later" + SpoolFolder.SEGMENT_SUFFIX)));
        assertTrue(Files.notExists(partial.path()));
    }

    @Test
    public void folderIsLockedUntilClosed() throws IOException {
        try (SpoolFolder first = SpoolFolder.acquire(folder)) {
            assertEquals(first.toString(), folder.toString());
            assertThrows(SpoolFolder.LockedException.class, () -> SpoolFolder.acquire(folder));
        }
        SpoolFolder.acquire(folder).close();
    }

    @Test
    public void folderThatCannotBeCreatedFailsWithSingleLineMessage() throws IOException {
        Path file = folder.resolve("file");
        Files.writeString(file, "");
        IOException e = null;
        try {
            SpoolFolder.acquire(file.resolve("below"));
        } catch (IOException thrown) {
            e = thrown;
        }
        assertTrue(e != null && e.getMessage().endsWith("can't be created"), String.valueOf(e));
    }

    @Test
    public void removedOrReplacedFileFailsTheRead() throws IOException {
        Path one = write("one", randomBlocks(new Random(4), 2));
        Path two = write("two", randomBlocks(new Random(5), 2));
        Segment.Result stored = Segment.open(one);
        Files.move(two, one, StandardCopyOption.REPLACE_EXISTING);
        assertThrows(
                IOException.class, () -> stored.segment().read(stored.blocks().get(1)));
        Files.delete(one);
        assertThrows(
                IOException.class, () -> stored.segment().read(stored.blocks().get(0)));
    }
}
