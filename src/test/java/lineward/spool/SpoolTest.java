package lineward.spool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lineward.spool.store.SegmentStore;
import lineward.spool.store.SpoolFolder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks results that are written and read concurrently, on an event loop run by the test's thread. */
public class SpoolTest {
    private static final long MB = 1 << 20;
    private final LinkedBlockingQueue<Runnable> eventLoop = new LinkedBlockingQueue<>();
    private Path folder;
    private double now;

    @BeforeMethod
    public void createFolder() throws IOException {
        folder = Files.createTempDirectory("spool");
        eventLoop.clear();
        now = 0;
    }

    @AfterMethod
    public void deleteFolder() throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(f -> f.toFile().delete());
        }
    }

    private Spool openSpool(boolean usesFiles) throws IOException {
        long total = 64 * MB;
        SpoolLimits limits = new SpoolLimits(2 * MB, total, 100, 100, total, 32 * MB, MB, 0.5, 1000, 5000);
        if (!usesFiles) {
            return new Spool(limits, null, () -> now);
        }
        SpoolFolder lockedFolder = SpoolFolder.acquire(folder);
        SpoolFolder.Contents contents = lockedFolder.recover();
        Spool spool = new Spool(limits, new SegmentStore(lockedFolder, eventLoop::add), () -> now);
        spool.restore(contents);
        return spool;
    }

    private void runNextTask() {
        try {
            Runnable task = eventLoop.poll(5, TimeUnit.SECONDS);
            assertNotNull(task, "no task within 5 s");
            task.run();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private static byte[] randomRow(Random random) {
        byte[] row = new byte[1 + random.nextInt(20_000)];
        random.nextBytes(row);
        return row;
    }

    private static void append(SpooledResult result, byte[] bytes, boolean isRow) {
        int offset = result.reserve(bytes.length);
        System.arraycopy(bytes, 0, result.buffer(), offset, bytes.length);
        result.commit(bytes.length, isRow, false);
    }

    private byte[] readRest(SpoolReader reader) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (reader.readStatus() == ReadStatus.MORE) {
            ResultChunk chunk = reader.poll();
            if (chunk == null) {
                runNextTask();
            } else {
                all.writeBytes(chunk.bytes());
            }
        }
        return all.toByteArray();
    }

    @Test
    public void readBytesEqualWrittenBytesInMemoryAndOnDisk() throws IOException, InterruptedException {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            try (Spool spool = openSpool(seed % 2 == 0)) {
                SpooledResult result = spool.begin("u", "", "");
                SpoolReader reader = null;
                ByteArrayOutputStream written = new ByteArrayOutputStream();
                ByteArrayOutputStream read = new ByteArrayOutputStream();
                for (int i = 0; i < 400; i++) {
                    byte[] row = randomRow(random);
                    append(result, row, true);
                    written.writeBytes(row);
                    if (i == 100) {
                        reader = result.openReader(() -> {});
                    }
                    while (reader != null && (seed % 2 != 0 || random.nextInt(3) == 0)) {
                        ResultChunk chunk = reader.poll();
                        if (chunk == null) {
                            break;
                        }
                        read.writeBytes(chunk.bytes());
                    }
                }
                result.complete();
                read.writeBytes(readRest(reader));
                assertEquals(reader.readStatus(), ReadStatus.END);
                assertEquals(read.toByteArray(), written.toByteArray(), "seed " + seed);
                // Waits until every block has been written and released, and only then closes the reader.
                for (Runnable task = eventLoop.poll(200, TimeUnit.MILLISECONDS);
                        task != null;
                        task = eventLoop.poll(200, TimeUnit.MILLISECONDS)) {
                    task.run();
                }
                reader.close();
                while (spool.statistics().results() > 0) {
                    runNextTask();
                }
                assertEquals(
                        spool.statistics().memoryBytes() + spool.statistics().fileBytes(), 0);
            }
            assertEquals(countSegments(), 0, "files left by seed " + seed);
        }
    }

    private long countSegments() throws IOException {
        try (Stream<Path> left = Files.list(folder)) {
            return left.filter(f -> f.toString().endsWith("lwseg")).count();
        }
    }

    @Test
    public void keyedResultSurvivesRestartForItsUserOnly() throws IOException {
        byte[] row = randomRow(new Random(1));
        try (Spool first = openSpool(true)) {
            SpooledResult result = first.begin("u", "k", "digest");
            for (int i = 0; i < 20; i++) {
                append(result, row, true);
            }
            result.complete();
            // Runs the completions of three block writes and the manifest write.
            for (int i = 0; i < 4; i++) {
                runNextTask();
            }
            SpooledResult partial = first.begin("u", "half", "digest");
            append(partial, new byte[100_000], true);
            runNextTask();
        }
        try (Spool second = openSpool(true)) {
            assertNull(second.find("other", "k"));
            assertNull(second.find("u", "half"), "an incomplete result is deleted");
            SpooledResult restored = second.find("u", "k");
            assertEquals(restored.digest(), "digest");
            SpoolReader reader = restored.openReader(() -> {});
            assertEquals(readRest(reader).length, 20 * row.length);
            SpoolReader pageReader = restored.openReader(() -> {});
            int rowsBefore = pageReader.seek(15);
            ResultChunk chunk = null;
            while (chunk == null) {
                chunk = pageReader.poll();
                if (chunk == null) {
                    runNextTask();
                }
            }
            assertTrue(rowsBefore >= 0 && rowsBefore < chunk.rows());
            reader.close();
            pageReader.close();
            now = 5001;
            second.tick();
            assertNull(second.find("u", "k"), "its lease has expired");
            runNextTask();
            assertEquals(second.statistics().fileBytes(), 0);
        }
        assertEquals(countSegments(), 0);
    }

    /**
     * Deletes the file so that writes fail, as they do on a full or failed disk. The blocks in memory must
     * stay readable, and backpressure must stop the reads from the engine.
     */
    @Test
    public void resultStaysInMemoryWhenWritesFail() throws IOException, InterruptedException {
        try (Spool spool = openSpool(true)) {
            SpooledResult result = spool.begin("u", "", "");
            byte[] row = new byte[100_000];
            for (int i = 0; i < 6; i++) {
                append(result, row, true);
            }
            runNextTask();
            try (Stream<Path> files = Files.list(folder)) {
                files.filter(f -> f.toString().endsWith("lwseg"))
                        .forEach(f -> f.toFile().delete());
            }
            int rows = 6;
            while (result.mayReadEngine() && rows < 100) {
                append(result, row, true);
                rows++;
                Runnable task = eventLoop.poll(20, TimeUnit.MILLISECONDS);
                if (task != null) {
                    task.run();
                }
            }
            assertTrue(rows < 100, "no backpressure after " + rows + " rows");
            SpoolReader reader = result.openReader(() -> {});
            int readBytes = 0;
            while (reader.readStatus() == ReadStatus.MORE) {
                ResultChunk chunk = reader.poll();
                if (chunk == null) {
                    break;
                }
                readBytes += chunk.bytes().length;
            }
            // The block written before the deletion is lost; the blocks that precede it are in memory.
            assertTrue(readBytes >= row.length, "expected at least one row; bytes read: " + readBytes);
            result.release();
            assertEquals(spool.statistics().memoryBytes(), 0);
        }
    }

    @Test
    public void resultExpiresWhenItsReaderStops() throws IOException {
        try (Spool spool = openSpool(false)) {
            SpooledResult result = spool.begin("u", "", "");
            append(result, new byte[200_000], true);
            int[] notifications = new int[1];
            SpoolReader reader = result.openReader(() -> notifications[0]++);
            reader.poll();
            result.complete();
            now = 1001;
            spool.tick();
            assertTrue(notifications[0] > 0);
            assertEquals(reader.readStatus(), ReadStatus.EXPIRED);
            reader.close();
            assertEquals(spool.statistics().memoryBytes(), 0);
            assertEquals(spool.statistics().expired(), 1);
        }
    }

    @Test
    public void failedResultIsReportedAfterItsLastByte() throws IOException {
        try (Spool spool = openSpool(false)) {
            SpooledResult result = spool.begin("u", "", "");
            SpoolReader reader = result.openReader(() -> {});
            append(result, new byte[100], true);
            result.fail();
            assertEquals(reader.readStatus(), ReadStatus.MORE);
            assertEquals(reader.poll().bytes().length, 100);
            assertEquals(reader.readStatus(), ReadStatus.FAILED);
            reader.close();
            assertEquals(spool.statistics().results(), 0);
        }
    }
}
