package lineward.spool.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** Creates folders of spooled results for measurements, and checks reads of corrupt files. */
public final class SpoolFixture {
    private static final int BLOCK_BYTES = 64 << 10;
    private static final int BLOCKS_PER_MB = 16;
    private static final int ROWS_PER_BLOCK = 10;

    private SpoolFixture() {}

    private static byte[] block(int result, int index) {
        byte[] block = new byte[BLOCK_BYTES];
        new Random(result * 31L + index).nextBytes(block);
        return block;
    }

    /** Writes results of random bytes, which don't compress. */
    public static void writeResults(Path folder, int resultCount, int megabytesPerResult) throws IOException {
        for (int result = 0; result < resultCount; result++) {
            Segment segment = new Segment(folder.resolve("r" + result + SpoolFolder.SEGMENT_SUFFIX));
            segment.create(1);
            List<Segment.Extent> locations = new ArrayList<>();
            long rows = (long) ROWS_PER_BLOCK * BLOCKS_PER_MB * megabytesPerResult;
            for (int i = 0; i < megabytesPerResult * BLOCKS_PER_MB; i++) {
                locations.add(segment.append(block(result, i), (long) ROWS_PER_BLOCK * i, ROWS_PER_BLOCK));
            }
            segment.complete(new Manifest("u", "k" + result, "d", 1, rows, 0), locations);
        }
    }

    /** Returns the total size of the files in a folder, in megabytes, rounded down. */
    public static long megabytes(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(f -> f.toFile().length()).sum() >> 20;
        }
    }

    /** Truncates or changes a file this many times; returns how many blocks were read with wrong bytes. */
    public static int wrongBlocks(Path folder, Random random, int times) throws IOException {
        int wrongCount = 0;
        Path file = folder.resolve("corrupt" + SpoolFolder.SEGMENT_SUFFIX);
        List<byte[]> blocks = new ArrayList<>();
        Segment segment = new Segment(file);
        Files.deleteIfExists(file);
        segment.create(1);
        List<Segment.Extent> locations = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            blocks.add(block(0, i));
            locations.add(segment.append(blocks.get(i), (long) ROWS_PER_BLOCK * i, ROWS_PER_BLOCK));
        }
        segment.complete(new Manifest("u", "k", "d", 1, 30, 0), locations);
        byte[] intact = Files.readAllBytes(file);
        for (int time = 0; time < times; time++) {
            byte[] corrupt = intact.clone();
            if (random.nextBoolean()) {
                corrupt = Arrays.copyOf(intact, random.nextInt(intact.length));
            }
            if (corrupt.length > 0 && random.nextBoolean()) {
                corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 << random.nextInt(8));
            }
            Files.write(file, corrupt);
            try {
                Segment.Result found = Segment.open(file);
                for (int i = 0; i < found.blocks().size(); i++) {
                    byte[] read = found.segment().read(found.blocks().get(i));
                    wrongCount += Arrays.equals(read, blocks.get(i)) ? 0 : 1;
                }
            } catch (IOException | RuntimeException e) {
                // The corruption was detected, and no bytes were returned.
            }
        }
        Files.delete(file);
        return wrongCount;
    }
}
