package lineward.spool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import lineward.spool.SpoolPolicy.Placement;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks admission, placement, backpressure and leases with tables and random seeds in simulated time. */
public class SpoolPolicyTest {
    private static final long MB = 1 << 20;

    private static SpoolLimits limits(long fileMb) {
        int files = fileMb > 0 ? 4 : 0;
        return new SpoolLimits(8 * MB, fileMb * MB, files, 6, 20 * MB, 12 * MB, MB, 0.5, 1000, 5000);
    }

    @DataProvider
    public Object[][] placements() {
        return new Object[][] {
            // file limit in MB, keyed, number of blocks of 1 MB, placement of the last one
            {0, false, 1, Placement.MEMORY},
            {0, false, 8, Placement.MEMORY},
            {0, false, 9, Placement.MEMORY_WITH_BACKPRESSURE},
            {0, true, 2, Placement.MEMORY},
            {100, false, 2, Placement.MEMORY},
            {100, false, 3, Placement.FILE},
            {100, true, 1, Placement.FILE},
            {100, false, 12, Placement.FILE},
            {100, false, 13, Placement.MEMORY_WITH_BACKPRESSURE},
            {1, true, 2, Placement.MEMORY},
            {1, true, 9, Placement.MEMORY_WITH_BACKPRESSURE}
        };
    }

    @Test(dataProvider = "placements")
    public void blockIsPlacedWhereThereIsCapacity(int fileMb, boolean keyed, int blocks, Placement expected) {
        SpoolPolicy policy = new SpoolPolicy(limits(fileMb));
        long id = policy.begin("a", keyed, 0);
        Placement placement = null;
        for (int i = 0; i < blocks; i++) {
            placement = policy.allocate(id, MB, 0);
        }
        assertEquals(placement, expected);
        assertEquals(policy.mayReadEngine(id), expected != Placement.MEMORY_WITH_BACKPRESSURE);
    }

    @Test
    public void failedWriteMovesBlockToMemoryAndSuspendsWrites() {
        SpoolPolicy policy = new SpoolPolicy(limits(100));
        long id = policy.begin("a", true, 0);
        assertEquals(policy.allocate(id, MB, 0), Placement.FILE);
        policy.writeFailed(id, MB, 0);
        assertEquals(policy.statistics().memoryBytes(), MB);
        assertEquals(policy.statistics().fileBytes(), 0);
        assertEquals(policy.allocate(id, MB, 10), Placement.MEMORY);
        assertEquals(policy.allocate(id, MB, WriteBackoff.BACKOFF_MS), Placement.FILE);
    }

    @Test
    public void backpressureEndsOnceReaderHasCaughtUp() {
        SpoolPolicy policy = new SpoolPolicy(limits(0));
        long id = policy.begin("a", false, 0);
        policy.readerOpened(id, 0);
        for (int i = 0; i < 9; i++) {
            policy.allocate(id, MB, 0);
        }
        assertFalse(policy.mayReadEngine(id));
        for (int i = 0; i < 5; i++) {
            policy.memoryReleased(id, MB, 1);
            policy.blockRead(id, 1);
        }
        assertTrue(policy.mayReadEngine(id));
    }

    @DataProvider
    public Object[][] responseStarts() {
        return new Object[][] {{10L, 10, 1000, false}, {2 * MB, 10, 1000, true}, {10L, 501, 1000, true}};
    }

    @Test(dataProvider = "responseStarts")
    public void responseStartIsDelayedWithinBounds(long bytes, int ageMs, int timeoutMs, boolean starts) {
        SpoolPolicy policy = new SpoolPolicy(limits(0));
        long id = policy.begin("a", false, 0);
        assertEquals(policy.shouldStartResponse(id, bytes, ageMs, timeoutMs), starts);
    }

    @Test
    public void leaseExpiresAfterLastRead() {
        SpoolPolicy policy = new SpoolPolicy(limits(100));
        long readId = policy.begin("a", false, 0);
        policy.readerOpened(readId, 0);
        long keyedId = policy.begin("a", true, 0);
        policy.complete(keyedId, 0);
        long incompleteId = policy.begin("a", false, 0);
        assertEquals(policy.selectExpired(1000), List.of());
        policy.blockRead(readId, 900);
        assertEquals(policy.selectExpired(1800), List.of());
        assertEquals(policy.selectExpired(1901), List.of(readId));
        policy.release(readId, 1901);
        assertEquals(policy.selectExpired(5001), List.of(keyedId));
        policy.release(keyedId, 5001);
        assertEquals(policy.selectExpired(1e9), List.of(), "the attempt's timeout limits incomplete results");
        policy.release(incompleteId, 1e9);
        assertEquals(policy.statistics().expired(), 2);
    }

    @Test
    public void stalledResultExpires() {
        SpoolPolicy policy = new SpoolPolicy(limits(0));
        long id = policy.begin("a", false, 0);
        for (int i = 0; i < 9; i++) {
            policy.allocate(id, MB, 0);
        }
        assertEquals(policy.selectExpired(LeasePolicy.MAX_STALL_MS), List.of());
        assertEquals(policy.selectExpired(LeasePolicy.MAX_STALL_MS + 1), List.of(id));
    }

    @Test
    public void nearlyFullSpoolRejectsStatementsWithRetryAfter() {
        SpoolPolicy policy = new SpoolPolicy(limits(0));
        long id = policy.begin("a", false, 0);
        for (int i = 0; i < 8; i++) {
            assertTrue(policy.admit("b", 0) instanceof SpoolPolicy.Admitted);
            policy.allocate(id, MB, 0);
        }
        SpoolPolicy.Rejected rejected = (SpoolPolicy.Rejected) policy.admit("b", 0);
        assertTrue(rejected.retryAfterMs() >= 100 && rejected.retryAfterMs() <= 2000, rejected.toString());
        policy.release(id, 10);
        assertTrue(policy.admit("b", 10) instanceof SpoolPolicy.Admitted);
        assertEquals(policy.statistics().rejected(), 1);
    }

    @Test
    public void userAtQuotaIsRejectedWhileOthersAreAdmitted() {
        SpoolPolicy policy = new SpoolPolicy(limits(100));
        for (int r = 0; r < 2; r++) {
            long id = policy.begin("greedy", false, 0);
            for (int i = 0; i < 10; i++) {
                policy.allocate(id, MB, 0);
            }
        }
        assertTrue(policy.admit("greedy", 0) instanceof SpoolPolicy.Rejected);
        assertTrue(policy.admit("modest", 0) instanceof SpoolPolicy.Admitted);
    }

    @Test
    public void leastRecentlyUsedResultIsReclaimedAndNoneWithReaders() {
        SpoolPolicy policy = new SpoolPolicy(limits(100));
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            long id = policy.begin("a", true, i);
            policy.allocate(id, 1000, i);
            policy.complete(id, i);
            ids.add(id);
        }
        policy.readerOpened(ids.get(0), 10);
        assertEquals(policy.selectForReclaim("a"), OptionalLong.of(ids.get(1)), "limit on files reached");
        policy.release(ids.get(1), 11);
        assertEquals(policy.selectForReclaim("a"), OptionalLong.empty());
    }

    @Test
    public void everyAllocatedByteIsReleasedForAllSeeds() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            SpoolPolicy policy = new SpoolPolicy(limits(seed % 2 * 30L));
            Map<Long, List<Long>> memoryBlocks = new HashMap<>();
            for (int step = 0; step < 300; step++) {
                double now = step * 10.0;
                if (random.nextInt(4) == 0 && memoryBlocks.size() < 20) {
                    long newId = policy.begin("u" + random.nextInt(3), random.nextBoolean(), now);
                    memoryBlocks.put(newId, new ArrayList<>());
                }
                List<Long> ids = new ArrayList<>(memoryBlocks.keySet());
                if (ids.isEmpty()) {
                    continue;
                }
                long id = ids.get(random.nextInt(ids.size()));
                long bytes = 1L + random.nextInt(300_000);
                switch (random.nextInt(4)) {
                    case 0 -> {
                        policy.release(id, now);
                        memoryBlocks.remove(id);
                    }
                    case 1 -> {
                        if (!memoryBlocks.get(id).isEmpty()) {
                            policy.memoryReleased(id, memoryBlocks.get(id).remove(0), now);
                        }
                    }
                    default -> {
                        if (policy.allocate(id, bytes, now) != Placement.FILE) {
                            memoryBlocks.get(id).add(bytes);
                        } else if (random.nextInt(5) == 0) {
                            policy.writeFailed(id, bytes, now);
                            memoryBlocks.get(id).add(bytes);
                        } else {
                            policy.bytesStored(id, bytes, bytes / 2);
                        }
                    }
                }
                assertEquals(
                        policy.statistics().memoryBytes(),
                        memoryBlocks.values().stream()
                                .flatMap(List::stream)
                                .mapToLong(b -> b)
                                .sum(),
                        "seed " + seed);
            }
            List.copyOf(memoryBlocks.keySet()).forEach(id -> policy.release(id, 1e6));
            SpoolPolicy.Statistics atEnd = policy.statistics();
            assertEquals(atEnd.memoryBytes() + atEnd.fileBytes(), 0, "seed " + seed);
            assertEquals(policy.statistics().results(), 0);
        }
    }

    @Test
    public void outOfRangeLimitsAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> new SpoolLimits(10, 0, 0, 1, 1, 1, 0, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SpoolLimits(MB, 0, 0, 1, 1, 1, 0, 2, 1, 1));
    }
}
