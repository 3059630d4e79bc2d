package lineward.frontend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which replies wait, and which connections are closed, while clients leave replies unread. */
public class SendBudgetTest {
    private static final long CAPACITY = 1000;
    private static final int TICKS_UNTIL_STALLED = 11;

    private final List<String> events = new ArrayList<>();
    private SendBudget budget;

    private final class TestingConnection implements SendBudget.Connection {
        private final String name;
        private long pendingBytes;

        TestingConnection(String name) {
            this.name = name;
        }

        void write(long bytes) {
            pendingBytes += bytes;
            budget.started(this, bytes);
        }

        void read(long bytes) {
            pendingBytes -= bytes;
            budget.ended(this, bytes);
        }

        @Override
        public long pendingBytes() {
            return pendingBytes;
        }

        @Override
        public void resume() {
            events.add("resume " + name);
        }

        @Override
        public void evict() {
            events.add("evict " + name);
            read(pendingBytes);
        }
    }

    @BeforeMethod
    public void start() {
        events.clear();
        budget = new SendBudget(CAPACITY);
    }

    private void tick(int count) {
        for (int i = 0; i < count; i++) {
            budget.tick();
        }
    }

    @Test
    public void aPartWaitsUntilOthersHaveRead() {
        TestingConnection first = new TestingConnection("first");
        TestingConnection second = new TestingConnection("second");
        first.write(CAPACITY);
        assertFalse(budget.acceptsPart(second));
        assertTrue(budget.acceptsCommand(second), "a short reply to a client that reads");
        assertFalse(budget.acceptsCommand(first));
        first.read(CAPACITY);
        assertEquals(events, List.of("resume second"));
        assertEquals(budget.used(), 0);
    }

    @Test
    public void closesTheStalledConnectionOnlyWhileTheCapacityIsUsedUp() {
        TestingConnection stalled = new TestingConnection("stalled");
        TestingConnection reading = new TestingConnection("reading");
        TestingConnection waiting = new TestingConnection("waiting");
        stalled.write(CAPACITY / 2);
        tick(TICKS_UNTIL_STALLED);
        assertEquals(events, List.of());
        reading.write(CAPACITY);
        assertFalse(budget.acceptsPart(waiting));
        for (int i = 0; i < TICKS_UNTIL_STALLED; i++) {
            reading.pendingBytes--;
            budget.tick();
        }
        assertEquals(events, List.of("evict stalled"));
        reading.pendingBytes = 0;
        budget.ended(reading, CAPACITY);
        assertEquals(events, List.of("evict stalled", "resume waiting"));
        assertEquals(budget.used(), 0);
    }
}
