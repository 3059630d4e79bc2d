package lineward.spool.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;

/** Fills folders with results and corrupts them, for measurements. */
public final class SpoolFixture {
    private static final int BLOCK = 64 << 10;

    private SpoolFixture() {}

    private static byte[] block(int result, int index) {
        byte[] block = new byte[BLOCK];
        new Random(result * 31L + index).nextBytes(block);
        return block;
    }

    /** Writes so many results of so many megabytes that do not compress. */
    public static void fill(Path folder, int results, int megabytes) throws IOException {
        for (int r = 0; r < results; r++) {
            Segment segment = new Segment(folder.resolve("r" + r + SpoolFolder.SEGMENT_SUFFIX));
            segment.create(1);
            List<Segment.Extent> locations = new ArrayList<>();
            for (int i = 0; i < megabytes * 16; i++) {
                locations.add(segment.append(block(r, i), 10L * i, 10));
            }
            segment.complete(new Manifest("u", "k" + r, "d", 1, 160L * megabytes, 0), locations);
        }
    }

    /** Returns megabytes of the files in a folder. */
    public static long megabytes(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.mapToLong(f -> f.toFile().length()).sum() >> 20;
        }
    }

    /** Returns how many blocks were read but differ from those written, over seeded corruptions. */
    public static int wrongBytes(Path folder, Random random, int times) throws IOException {
        int wrong = 0;
        Path file = folder.resolve("corrupt" + SpoolFolder.SEGMENT_SUFFIX);
        List<byte[]> blocks = new ArrayList<>();
        Segment segment = new Segment(file);
        Files.deleteIfExists(file);
        segment.create(1);
        List<Segment.Extent> locations = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            blocks.add(block(0, i));
            locations.add(segment.append(blocks.get(i), 10L * i, 10));
        }
        segment.complete(new Manifest("u", "k", "d", 1, 30, 0), locations);
        byte[] good = Files.readAllBytes(file);
        for (int t = 0; t < times; t++) {
            byte[] corrupt = good.clone();
            if (random.nextBoolean()) {
                corrupt = Arrays.copyOf(good, random.nextInt(good.length));
            }
            if (corrupt.length > 0 && random.nextBoolean()) {
                corrupt[random.nextInt(corrupt.length)] ^= (byte) (1 << random.nextInt(8));
            }
            Files.write(file, corrupt);
            try {
                Segment.Found found = Segment.open(file);
                for (int i = 0; i < found.blocks().size(); i++) {
                    byte[] read = found.segment().read(found.blocks().get(i));
                    wrong += Arrays.equals(read, blocks.get(i)) ? 0 : 1;
                }
            } catch (IOException | RuntimeException e) {
                // Reported, not served.
            }
        }
        Files.delete(file);
        return wrong;
    }
}
