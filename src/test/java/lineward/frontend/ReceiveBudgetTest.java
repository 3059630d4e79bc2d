package lineward.frontend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which connections are closed or not read when the receive buffers of a server are full. */
public class ReceiveBudgetTest {
    private static final long CAPACITY = 100_000;
    private static final int STALLED_TICKS = 3;
    private static final int MAX_MESSAGE_BYTES = 64_000;
    private static final int READ_BYTES = 16_384;

    private static final int SENDERS = 40;
    private static final int MAX_ROUNDS = 400;
    private static final String COMPLETING = "completing";

    private final List<String> evicted = new ArrayList<>();
    private ReceiveBudget budget;

    @BeforeMethod
    public void start() {
        evicted.clear();
        budget = new ReceiveBudget(CAPACITY);
    }

    private final class TestingConnection implements ReceiveBudget.Connection {
        private final String name;
        private final boolean hasSentMessage;
        private boolean awaitsResponse;
        private boolean isRead = true;
        private boolean isClosed;

        TestingConnection(String name, boolean hasSentMessage) {
            this.name = name;
            this.hasSentMessage = hasSentMessage;
        }

        @Override
        public boolean hasSentMessage() {
            return hasSentMessage;
        }

        @Override
        public boolean awaitsResponse() {
            return awaitsResponse;
        }

        @Override
        public void setReadingAllowed(boolean allowed) {
            isRead = allowed;
        }

        @Override
        public void evict() {
            isClosed = true;
            evicted.add(name);
        }
    }

    private TestingConnection silent(String name) {
        return new TestingConnection(name, false);
    }

    private TestingConnection known(String name) {
        return new TestingConnection(name, true);
    }

    private void tickUntilStalled() {
        for (int i = 0; i < STALLED_TICKS; i++) {
            budget.tick();
        }
    }

    @Test
    public void evictsTheLongestBufferedClientWithoutAMessageForOneThatHasSentOne() {
        TestingConnection known = known("known");
        budget.update(known, 30_000);
        budget.update(silent("first"), 30_000);
        TestingConnection second = silent("second");
        budget.update(second, 30_000);
        TestingConnection third = silent("third");
        budget.update(third, 30_000);
        assertFalse(third.isRead, "a client without a message waits");
        assertEquals(evicted, List.of());
        budget.update(known, 50_000);
        assertEquals(evicted, List.of("first"));
        assertEquals(budget.used(), 80_000);
        assertTrue(known.isRead);
        budget.remove(second);
        assertTrue(third.isRead, "there is capacity again");
    }

    @Test
    public void pausesAClientThatHasSentMessagesUntilThereIsCapacity() {
        TestingConnection holder = known("holder");
        TestingConnection next = known("next");
        budget.update(holder, 90_000);
        budget.update(next, 16_000);
        assertFalse(next.isRead);
        assertTrue(budget.isWaiting(next));
        assertTrue(holder.isRead);
        budget.update(holder, 0);
        assertTrue(next.isRead);
        assertEquals(evicted, List.of());
        assertEquals(budget.used(), 16_000);
    }

    @Test
    public void evictsAStalledClientOnlyIfOthersWaitAndNoResponseIsOwed() {
        TestingConnection stalled = known("stalled");
        TestingConnection owed = known("owed");
        owed.awaitsResponse = true;
        budget.update(stalled, 60_000);
        budget.update(owed, 30_000);
        tickUntilStalled();
        assertEquals(evicted, List.of(), "nobody waits for capacity");
        TestingConnection waiting = known("waiting");
        budget.update(waiting, 16_000);
        assertFalse(waiting.isRead);
        budget.tick();
        assertEquals(evicted, List.of("stalled"));
        assertTrue(waiting.isRead);
        tickUntilStalled();
        assertEquals(evicted, List.of("stalled"), "the client that is owed a response stays");
        budget.remove(owed);
        budget.remove(waiting);
        assertEquals(budget.used(), 0);
    }

    @Test
    public void alwaysReadsOneConnection() {
        TestingConnection large = known("large");
        budget.update(large, 2 * CAPACITY);
        assertTrue(large.isRead, "the only connection is read although it exceeds the capacity");
        TestingConnection next = known("next");
        budget.update(next, 1000);
        assertFalse(next.isRead);
        budget.remove(large);
        assertTrue(next.isRead);
    }

    /**
     * Many clients send a message of random size, and some of them stop before its end: the bytes stay
     * bounded, and each client that goes on is read to the end of its message.
     */
    @Test
    public void receivesEveryMessageThatIsSentWithinBounds() {
        for (int seed = 0; seed < 50; seed++) {
            start();
            Random random = new Random(seed);
            List<Sender> senders = IntStream.range(0, SENDERS)
                    .mapToObj(i -> new Sender(random.nextBoolean(), 1 + random.nextInt(MAX_MESSAGE_BYTES)))
                    .toList();
            for (int round = 0; round < MAX_ROUNDS; round++) {
                senders.forEach(sender -> sender.sendPart(1 + random.nextInt(READ_BYTES)));
                budget.tick();
                long bufferedBytes =
                        senders.stream().mapToLong(Sender::bufferedBytes).sum();
                assertTrue(budget.used() <= CAPACITY, budget.used() + " bytes reserved, seed " + seed);
                long maxBytes = CAPACITY + (long) SENDERS * READ_BYTES;
                assertTrue(bufferedBytes <= maxBytes, bufferedBytes + " bytes buffered, seed " + seed);
            }
            for (Sender sender : senders) {
                assertEquals(sender.isComplete(), sender.completes, "message is received, seed " + seed);
            }
            assertFalse(evicted.contains(COMPLETING), "seed " + seed);
        }
    }

    /** A client that sends a message whenever it is read, and possibly stops before the last byte. */
    private final class Sender {
        private final boolean completes;
        private final int messageBytes;
        private final TestingConnection connection;
        private int sentBytes;

        Sender(boolean completes, int messageBytes) {
            this.completes = completes;
            this.messageBytes = messageBytes;
            this.connection = new TestingConnection(completes ? COMPLETING : "stalling", true);
        }

        boolean isComplete() {
            return sentBytes == messageBytes;
        }

        void sendPart(int maxBytes) {
            int lastByte = completes ? messageBytes : messageBytes - 1;
            int bytes = Math.min(maxBytes, lastByte - sentBytes);
            if (bytes > 0 && connection.isRead && !connection.isClosed) {
                sentBytes += bytes;
                budget.update(connection, isComplete() ? 0 : messageBytes);
            }
        }

        long bufferedBytes() {
            return isComplete() || connection.isClosed ? 0 : sentBytes;
        }
    }
}
