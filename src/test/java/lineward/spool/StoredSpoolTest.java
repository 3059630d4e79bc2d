package lineward.spool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import lineward.spool.store.SegmentStore;
import lineward.spool.store.SpoolFolder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks that complete results of a folder written by commit 3520411 are recovered, others deleted. */
public class StoredSpoolTest {
    private static final long MB = 1 << 20;
    private static final String USER = "reporting";
    private static final String STATEMENT_DIGEST = "6b1f0c";
    /** A result of several blocks, one without rows, and one that the engine had not sent completely. */
    private static final List<String> SEGMENTS =
            List.of("spool-1-blocks.lwseg", "spool-1-empty.lwseg", "spool-1-incomplete.lwseg");

    private final LinkedBlockingQueue<Runnable> eventLoop = new LinkedBlockingQueue<>();
    private Path folder;
    private Spool spool;

    @BeforeMethod
    public void openStoredFolder() throws IOException {
        folder = Files.createTempDirectory("stored-spool");
        for (String name : SEGMENTS) {
            try (InputStream segment = StoredSpoolTest.class.getResourceAsStream(name)) {
                Files.copy(segment, folder.resolve(name));
            }
        }
        spool = openSpool(folder, eventLoop);
    }

    @AfterMethod(alwaysRun = true)
    public void deleteFolder() throws IOException {
        spool.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }

    private static Spool openSpool(Path folder, LinkedBlockingQueue<Runnable> eventLoop) throws IOException {
        long total = 64 * MB;
        SpoolLimits limits = new SpoolLimits(2 * MB, total, 100, 100, total, 32 * MB, MB, 0.5, 1000, 5000);
        SpoolFolder lockedFolder = SpoolFolder.acquire(folder);
        SpoolFolder.Contents contents = lockedFolder.recover();
        Spool spool = new Spool(limits, new SegmentStore(lockedFolder, eventLoop::add), () -> 0);
        spool.restore(contents);
        return spool;
    }

    private static byte[] head() {
        return new byte[] {1, 2, 3, 4, 5};
    }

    /** Returns a row, which compresses if its number is even. */
    private static byte[] row(int number) {
        byte[] row = new byte[7000];
        if (number % 2 == 1) {
            new Random(number).nextBytes(row);
        }
        return row;
    }

    private static byte[] expectedBytes(int rows) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head());
        for (int i = 0; i < rows; i++) {
            all.writeBytes(row(i));
        }
        return all.toByteArray();
    }

    private static void append(SpooledResult result, byte[] bytes, boolean isRow) {
        int offset = result.reserve(bytes.length);
        System.arraycopy(bytes, 0, result.buffer(), offset, bytes.length);
        result.commit(bytes.length, isRow, false);
    }

    private static void runNextTask(LinkedBlockingQueue<Runnable> eventLoop) {
        try {
            Runnable task = eventLoop.poll(5, TimeUnit.SECONDS);
            assertNotNull(task, "no task within 5 s");
            task.run();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private byte[] readAll(SpooledResult result) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        SpoolReader reader = result.openReader(() -> {});
        while (reader.readStatus() == ReadStatus.MORE) {
            ResultChunk chunk = reader.poll();
            if (chunk == null) {
                runNextTask(eventLoop);
            } else {
                all.writeBytes(chunk.bytes());
            }
        }
        assertEquals(reader.readStatus(), ReadStatus.END);
        reader.close();
        return all.toByteArray();
    }

    @Test
    public void resultOfSeveralBlocksIsReadUnchanged() {
        SpooledResult result = spool.find(USER, "orders/2026-11");
        assertEquals(result.digest(), STATEMENT_DIGEST);
        assertTrue(result.isComplete());
        assertEquals(readAll(result), expectedBytes(20));
    }

    @Test
    public void resultWithoutRowsIsReadUnchanged() {
        assertEquals(readAll(spool.find(USER, "none")), expectedBytes(0));
    }

    @Test
    public void incompleteResultIsDeleted() {
        assertNull(spool.find(USER, "incomplete"));
        assertEquals(spool.statistics().results(), 2);
        assertTrue(Files.notExists(folder.resolve("spool-1-incomplete.lwseg")));
    }

    @Test
    public void readerFindsTheBlockOfEachRow() {
        SpoolReader reader = spool.find(USER, "orders/2026-11").openReader(() -> {});
        for (int row = 0; row < 20; row++) {
            int rowsBefore = reader.seek(row);
            ResultChunk chunk = reader.poll();
            while (chunk == null) {
                runNextTask(eventLoop);
                chunk = reader.poll();
            }
            byte[] found = new byte[row(row).length];
            System.arraycopy(chunk.bytes(), rowsBefore * found.length, found, 0, found.length);
            assertEquals(found, row(row), "row " + row);
        }
        assertEquals(reader.seek(20), SpoolReader.ROW_NOT_FOUND);
        reader.close();
    }

    /** Writes the results into a folder; was run once, with the version whose files must stay readable. */
    public static void main(String[] args) throws IOException {
        LinkedBlockingQueue<Runnable> eventLoop = new LinkedBlockingQueue<>();
        Path folder = Path.of(args[0]);
        try (Spool spool = openSpool(folder, eventLoop)) {
            SpooledResult blocks = spool.begin(USER, "orders/2026-11", STATEMENT_DIGEST);
            append(blocks, head(), false);
            blocks.endBlock();
            for (int i = 0; i < 20; i++) {
                append(blocks, row(i), true);
            }
            blocks.complete();
            SpooledResult empty = spool.begin(USER, "none", STATEMENT_DIGEST);
            append(empty, head(), false);
            empty.complete();
            SpooledResult incomplete = spool.begin(USER, "incomplete", STATEMENT_DIGEST);
            append(incomplete, head(), false);
            incomplete.endBlock();
            // Runs the completions of five block writes and two manifest writes.
            for (int i = 0; i < 7; i++) {
                runNextTask(eventLoop);
            }
        }
    }
}
