package lineward.spool;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import lineward.spool.SpoolPolicy.Place;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What the spool holds, where, for how long and for whom: by cases and by seeds, in simulated time. */
public class SpoolPolicyTest {
    private static final long MB = 1 << 20;

    private static SpoolLimits limits(long fileMb) {
        return new SpoolLimits(8 * MB, fileMb * MB, fileMb > 0 ? 4 : 0, 6, 20 * MB, 12 * MB, MB, 0.5, 1000, 5000);
    }

    @DataProvider
    public Object[][] places() {
        return new Object[][] {
            // files MB, keyed, blocks of 1 MB, where the last of them goes
            {0, false, 1, Place.MEMORY}, {0, false, 8, Place.MEMORY}, {0, false, 9, Place.SLOW},
            {0, true, 2, Place.MEMORY}, {100, false, 2, Place.MEMORY}, {100, false, 3, Place.FILE},
            {100, true, 1, Place.FILE}, {100, false, 12, Place.FILE}, {100, false, 13, Place.SLOW},
            {1, true, 2, Place.MEMORY}, {1, true, 9, Place.SLOW}
        };
    }

    @Test(dataProvider = "places")
    public void aBlockGoesWhereThereIsRoom(int fileMb, boolean keyed, int blocks, Place last) {
        SpoolPolicy policy = new SpoolPolicy(limits(fileMb));
        long id = policy.begin("a", keyed, 0);
        Place place = null;
        for (int i = 0; i < blocks; i++) {
            place = policy.place(id, MB, 0);
        }
        assertEquals(place, last);
        assertEquals(policy.mayGrow(id), last != Place.SLOW);
    }

    @Test
    public void aFailedWriteComesBackToMemoryAndFilesRest() {
        SpoolPolicy policy = new SpoolPolicy(limits(100));
        long id = policy.begin("a", true, 0);
        assertEquals(policy.place(id, MB, 0), Place.FILE);
        policy.writeFailed(id, MB, 0);
        assertEquals(policy.figures().heldBytes(), MB);
        assertEquals(policy.figures().filedBytes(), 0);
        assertEquals(policy.place(id, MB, 10), Place.MEMORY);
        assertEquals(policy.place(id, MB, SpoolPolicy.FILE_PAUSE_MS), Place.FILE);
    }

    @Test
    public void aSlowedResultGrowsAgainOnceItsReaderIsOn() {
        SpoolPolicy policy = new SpoolPolicy(limits(0));
        long id = policy.begin("a", false, 0);
        policy.opened(id, 0);
        for (int i = 0; i < 9; i++) {
            policy.place(id, MB, 0);
        }
        assertFalse(policy.mayGrow(id));
        for (int i = 0; i < 5; i++) {
            policy.consumed(id, MB, 1);
            policy.read(id, 1);
        }
        assertTrue(policy.mayGrow(id));
    }

    @DataProvider
    public Object[][] openings() {
        return new Object[][] {{10L, 10, 1000, false}, {2 * MB, 10, 1000, true}, {10L, 501, 1000, true}};
    }

    @Test(dataProvider = "openings")
    public void theFirstRowIsHeldBackWithinBounds(long bytes, int age, int patience, boolean opens) {
        SpoolPolicy policy = new SpoolPolicy(limits(0));
        assertEquals(policy.opens(policy.begin("a", false, 0), bytes, age, patience), opens);
    }

    @Test
    public void leasesLapseByWhatWasReadLast() {
        SpoolPolicy policy = new SpoolPolicy(limits(100));
        long read = policy.begin("a", false, 0);
        policy.opened(read, 0);
        long kept = policy.begin("a", true, 0);
        policy.complete(kept, 0);
        long growing = policy.begin("a", false, 0);
        assertEquals(policy.lapsed(1000), List.of());
        policy.read(read, 900);
        assertEquals(policy.lapsed(1800), List.of());
        assertEquals(policy.lapsed(1901), List.of(read));
        policy.release(read, 1901);
        assertEquals(policy.lapsed(5001), List.of(kept));
        policy.release(kept, 5001);
        assertEquals(policy.lapsed(1e9), List.of(), "who still grows has the attempt's own time");
        policy.release(growing, 1e9);
        assertEquals(policy.figures().lapsed(), 2);
    }

    @Test
    public void aResultThatStallsIsEnded() {
        SpoolPolicy policy = new SpoolPolicy(limits(0));
        long id = policy.begin("a", false, 0);
        for (int i = 0; i < 9; i++) {
            policy.place(id, MB, 0);
        }
        assertEquals(policy.lapsed(SpoolPolicy.STALL_MS), List.of());
        assertEquals(policy.lapsed(SpoolPolicy.STALL_MS + 1), List.of(id));
    }

    @Test
    public void whenNearlyFullStatementsAreRefusedWithATimeToReturn() {
        SpoolPolicy policy = new SpoolPolicy(limits(0));
        long id = policy.begin("a", false, 0);
        for (int i = 0; i < 8; i++) {
            assertTrue(policy.admit("b", 0) instanceof SpoolPolicy.Admitted);
            policy.place(id, MB, 0);
        }
        SpoolPolicy.Turned turned = (SpoolPolicy.Turned) policy.admit("b", 0);
        assertTrue(turned.retryAfterMs() >= 100 && turned.retryAfterMs() <= 2000, turned.toString());
        policy.release(id, 10);
        assertTrue(policy.admit("b", 10) instanceof SpoolPolicy.Admitted);
        assertEquals(policy.figures().refused(), 1);
    }

    @Test
    public void oneUserCannotTakeTheRoomOfOthers() {
        SpoolPolicy policy = new SpoolPolicy(limits(100));
        for (int r = 0; r < 2; r++) {
            long id = policy.begin("greedy", false, 0);
            for (int i = 0; i < 10; i++) {
                policy.place(id, MB, 0);
            }
        }
        assertTrue(policy.admit("greedy", 0) instanceof SpoolPolicy.Turned);
        assertTrue(policy.admit("modest", 0) instanceof SpoolPolicy.Admitted);
    }

    @Test
    public void underPressureTheOneUntouchedLongestGoesFirstAndNoneThatIsRead() {
        SpoolPolicy policy = new SpoolPolicy(limits(100));
        List<Long> all = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            long id = policy.begin("a", true, i);
            policy.place(id, 1000, i);
            policy.complete(id, i);
            all.add(id);
        }
        policy.opened(all.get(0), 10);
        assertEquals(policy.pressed("a"), List.of(all.get(1)), "files are at their bound");
        policy.release(all.get(1), 11);
        assertEquals(policy.pressed("a"), List.of());
    }

    @Test
    public void whateverHappensEveryByteIsGivenBack() {
        for (int seed = 0; seed < 200; seed++) {
            Random random = new Random(seed);
            SpoolPolicy policy = new SpoolPolicy(limits(seed % 2 * 30));
            Map<Long, List<Long>> held = new HashMap<>();
            for (int step = 0; step < 300; step++) {
                double now = step * 10;
                if (random.nextInt(4) == 0 && held.size() < 20) {
                    held.put(policy.begin("u" + random.nextInt(3), random.nextBoolean(), now), new ArrayList<>());
                }
                List<Long> ids = new ArrayList<>(held.keySet());
                if (ids.isEmpty()) {
                    continue;
                }
                long id = ids.get(random.nextInt(ids.size()));
                long bytes = 1 + random.nextInt(300_000);
                switch (random.nextInt(4)) {
                    case 0 -> {
                        policy.release(id, now);
                        held.remove(id);
                    }
                    case 1 -> {
                        if (!held.get(id).isEmpty()) {
                            policy.consumed(id, held.get(id).remove(0), now);
                        }
                    }
                    default -> {
                        if (policy.place(id, bytes, now) != Place.FILE) {
                            held.get(id).add(bytes);
                        } else if (random.nextInt(5) == 0) {
                            policy.writeFailed(id, bytes, now);
                            held.get(id).add(bytes);
                        } else {
                            policy.stored(id, bytes, bytes / 2);
                        }
                    }
                }
                assertEquals(
                        policy.figures().heldBytes(),
                        held.values().stream()
                                .flatMap(List::stream)
                                .mapToLong(b -> b)
                                .sum(),
                        "seed " + seed);
            }
            List.copyOf(held.keySet()).forEach(id -> policy.release(id, 1e6));
            assertEquals(policy.figures().heldBytes() + policy.figures().filedBytes(), 0, "seed " + seed);
            assertEquals(policy.figures().results(), 0);
        }
    }

    @Test
    public void boundsThatContradictEachOtherAreRefused() {
        assertThrows(IllegalArgumentException.class, () -> new SpoolLimits(10, 0, 0, 1, 1, 1, 0, 0, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SpoolLimits(MB, 0, 0, 1, 1, 1, 0, 2, 1, 1));
    }
}
