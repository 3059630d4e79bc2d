package lineward.spool;

import static org.testng.Assert.assertEquals;

import java.util.List;
import lineward.spool.store.Segment;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks where a block is stored after each sequence of write events. */
public class BlockTest {
    private static final Segment.Extent LOCATION = new Segment.Extent(24, 40, 7, 3, 5);

    private enum Event {
        WRITE,
        SUCCEED,
        FAIL;

        void applyTo(Block block) {
            switch (this) {
                case WRITE -> block.writeStarted();
                case SUCCEED -> block.writeSucceeded(LOCATION);
                case FAIL -> block.writeFailed();
            }
        }
    }

    /** Events; whether the block is then in memory, being written, on disk, and has its bytes. */
    @DataProvider
    public Object[][] events() {
        return new Object[][] {
            {List.of(), true, false, false, true},
            {List.of(Event.WRITE), false, true, false, true},
            {List.of(Event.WRITE, Event.SUCCEED), false, false, true, false},
            {List.of(Event.WRITE, Event.FAIL), true, false, false, true},
            {List.of(Event.WRITE, Event.FAIL, Event.WRITE), false, true, false, true}
        };
    }

    @Test(dataProvider = "events")
    public void eventsLeadToStorage(
            List<Event> events, boolean inMemory, boolean beingWritten, boolean onDisk, boolean hasData) {
        Block block = Block.inMemory(7, 3, new byte[5]);
        events.forEach(event -> event.applyTo(block));
        assertEquals(block.isInMemory(), inMemory);
        assertEquals(block.isBeingWritten(), beingWritten);
        assertEquals(block.isOnDisk(), onDisk);
        assertEquals(block.data() != null, hasData);
        assertEquals(block.location(), onDisk ? LOCATION : null);
    }

    @Test
    public void restoredBlockIsOnDisk() {
        Block block = Block.onDisk(LOCATION);
        assertEquals(block.isOnDisk(), true);
        assertEquals(block.firstRow(), 7);
        assertEquals(block.rows(), 3);
        assertEquals(block.rawBytes(), 5);
        assertEquals(block.containsRow(6), false);
        assertEquals(block.containsRow(7), true);
        assertEquals(block.containsRow(9), true);
        assertEquals(block.containsRow(10), false);
    }
}
