package lineward.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNull;

import org.testng.annotations.Test;

/** Tests that a released id is not found, even if its slot has been reused. */
public class GenerationalTableTest {
    @Test
    public void staleIdFindsNothingAfterItsSlotIsReused() {
        GenerationalTable<String> table = new GenerationalTable<>(1);
        long first = table.add("a");
        assertEquals(table.add("b"), GenerationalTable.FULL);
        table.release(first);
        table.release(first);
        long second = table.add("c");
        assertNotEquals(second, first);
        assertNull(table.get(first));
        assertNull(table.get(GenerationalTable.FULL));
        assertEquals(table.get(second), "c");
        assertEquals(table.size(), 1);
    }
}
