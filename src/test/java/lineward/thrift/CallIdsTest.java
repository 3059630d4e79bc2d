package lineward.thrift;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests which ids are in use, and which connection is limited first. */
public class CallIdsTest {
    private static final long START_NANOS = Long.MAX_VALUE - 7;
    /** The largest heap with {@code -Xmx64m}, without the second survivor space. */
    private static final int HEAP_BYTES_OF_RUN = 64_880_640;

    private static final long ID = CallIds.numberOf("00000000000000ab");

    private static long afterMs(double ms) {
        return START_NANOS + (long) (ms * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private static long id(long number) {
        return CallIds.numberOf(String.format("%016x", number));
    }

    private static boolean isInUseAt(CallIds ids, long id, double ms) {
        ids.expire(afterMs(ms));
        return ids.isInUse(id);
    }

    @Test
    public void anIdIsInUseWhileItsCallIsOpenAndForTheQuarantine() {
        CallIds ids = new CallIds(100);
        ClientCallIds client = new ClientCallIds();
        ids.opened(ID, client);
        assertTrue(isInUseAt(ids, ID, 60_000));
        ids.ended(ID, afterMs(60_000));
        assertTrue(isInUseAt(ids, ID, 64_999));
        assertFalse(isInUseAt(ids, ID, 66_000));
        assertEquals(client.count(), 0);
        assertEquals(ids.size(), 0);
    }

    /** Guards against a release of all ids with the oldest one: each stays for its own quarantine. */
    @Test
    public void idsThatEndAtDifferentTimesEachStayForTheQuarantine() {
        CallIds ids = new CallIds(100_000);
        ClientCallIds client = new ClientCallIds();
        Random random = new Random(1);
        double endedAtMs = 0;
        for (int i = 0; i < 2000; i++) {
            endedAtMs += random.nextDouble() * 20;
            long id = id(random.nextLong());
            ids.opened(id, client);
            ids.ended(id, afterMs(endedAtMs));
            long checked = id;
            double checkedAtMs = endedAtMs;
            assertTrue(isInUseAt(ids, checked, checkedAtMs), "call " + i);
        }
        assertFalse(isInUseAt(ids, ID, endedAtMs + 6_000));
        assertEquals(ids.size(), 0);
        assertEquals(client.count(), 0);
    }

    /** An id is exact: 200,000 others in use don't make it one, nor do its letters in another case. */
    @Test
    public void otherIdsAreNotInUse() {
        CallIds ids = new CallIds(1_000_000);
        ClientCallIds client = new ClientCallIds();
        Random random = new Random(2);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 200_000; i++) {
            long id = id(i % 2 == 0 ? i : random.nextLong());
            if (used.add(id)) {
                ids.opened(id, client);
                ids.ended(id, START_NANOS);
            }
        }
        used.forEach(id -> assertTrue(ids.isInUse(id)));
        for (int i = 0; i < 200_000; i++) {
            long other = id(i % 2 == 0 ? i + 1L : random.nextLong());
            assertEquals(ids.isInUse(other), used.contains(other));
        }
        ids.opened(ID, client);
        assertTrue(ids.isInUse(ID));
        assertFalse(ids.isInUse(CallIds.numberOf("00000000000000AB")));
        assertFalse(ids.isInUse(CallIds.numberOf("00000000000000aB")));
    }

    /** A call that has not reached an engine has not run, so its id may be used again. */
    @Test
    public void theIdOfAnUnsentCallIsReleasedAtOnce() {
        CallIds ids = new CallIds(100);
        ClientCallIds client = new ClientCallIds();
        ids.opened(ID, client);
        ids.endedUnsent(ID);
        assertFalse(ids.isInUse(ID));
        assertEquals(client.count(), 0);
    }

    private static ClientCallIds[] newClients(int count) {
        return Stream.generate(ClientCallIds::new).limit(count).toArray(ClientCallIds[]::new);
    }

    /** Ids are used in turn until all clients are rejected; returns the number for each. */
    private static int[] idsUntilRejected(CallIds ids, ClientCallIds... clients) {
        int[] counts = new int[clients.length];
        long number = 0;
        boolean opened = true;
        while (opened) {
            opened = false;
            for (int i = 0; i < clients.length; i++) {
                if (ids.hasCapacity(clients[i])) {
                    long id = id(number++);
                    ids.opened(id, clients[i]);
                    ids.ended(id, START_NANOS);
                    counts[i]++;
                    opened = true;
                }
            }
        }
        return counts;
    }

    /** Guards against a limit that is met at the speed of the machine: all these ids end within 5 s. */
    @Test
    public void theHeapOfRunHasIdsForFourConnectionsWith50000Each() {
        int capacity = HEAP_BYTES_OF_RUN / 8 / CallIdTable.MAX_BYTES_PER_ID;
        for (int connections = 1; connections <= 4; connections++) {
            for (int count : idsUntilRejected(new CallIds(capacity), newClients(connections))) {
                assertTrue(count >= 50_000, count + " ids of one of " + connections);
            }
        }
    }

    @Test
    public void oneConnectionLeavesAFifthOfTheCapacityToOthers() {
        CallIds ids = new CallIds(10_000);
        assertEquals(idsUntilRejected(ids, new ClientCallIds())[0], 8_000);
        ClientCallIds other = new ClientCallIds();
        assertTrue(ids.hasCapacity(other));
        assertEquals(idsUntilRejected(ids, other)[0], 1_600);
    }

    @Test
    public void connectionsWithManyIdsGetEqualParts() {
        ClientCallIds[] clients = newClients(4);
        CallIds ids = new CallIds(17_000);
        int[] expected = {4_000, 4_000, 4_000, 4_000};
        assertEquals(idsUntilRejected(ids, clients), expected);
        assertTrue(ids.size() <= 17_000);
    }

    /** The connection with the most ids is rejected first; one with few ids goes on. */
    @Test
    public void theConnectionWithTheMostIdsIsRejectedFirst() {
        CallIds ids = new CallIds(10_000);
        ClientCallIds large = new ClientCallIds();
        ClientCallIds small = new ClientCallIds();
        idsUntilRejected(ids, large);
        for (int i = 0; i < 100; i++) {
            assertTrue(ids.hasCapacity(small), "id " + i);
            ids.opened(id(-1 - i), small);
            assertFalse(ids.hasCapacity(large));
        }
    }
}
