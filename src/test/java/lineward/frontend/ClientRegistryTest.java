package lineward.frontend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Who is let go, and how many at a time. */
public class ClientTableTest {
    @DataProvider
    public Object[][] chances() {
        return new Object[][] {{0.0, 0, 0}, {0.1, 40, 160}, {1.0, 1000, 1000}};
    }

    @Test(dataProvider = "chances")
    public void someAreClosedAtATime(double chance, int least, int most) {
        List<Integer> closed = new ArrayList<>();
        ClientRegistry.closeSome(IntStream.range(0, 1000).boxed().toList(), chance, closed::add);
        assertTrue(closed.size() >= least && closed.size() <= most, closed.size() + " closed");
    }

    @Test
    public void theLongestSilentMakesRoomAndWhoWaitsNeverDoes() {
        List<String> closed = new ArrayList<>();
        List<String> left = new ArrayList<>();
        ClientRegistry<String> table = new ClientRegistry<>(3, () -> 0, closed::add, left::add);
        table.connected("waits");
        table.markWaiting("waits");
        table.connected("first");
        table.connected("second");
        table.connected("third");
        assertEquals(closed, List.of("first"));
        table.closeSilent(0);
        assertEquals(closed, List.of("first"), "silence alone ends a connection in order");
        assertEquals(left, List.of("second", "third"));
        assertEquals(table.all(), List.of("waits"));
        assertEquals(table.size(), 3, "both are here until they are gone");
        table.disconnected("second");
        table.markWaiting("third");
        assertEquals(table.all(), List.of("waits", "third"), "it spoke first");
    }

    /** Where room is short a few leave in order; past them descriptors count for more. */
    @Test
    public void thoseThatLeaveInOrderAreFew() {
        List<Integer> closed = new ArrayList<>();
        List<Integer> left = new ArrayList<>();
        ClientRegistry<Integer> table = new ClientRegistry<>(64, () -> 0, closed::add, left::add);
        for (int i = 0; i < 64 + 6; i++) {
            table.connected(i);
            table.markIdle(i);
        }
        assertEquals(left, List.of(0, 1, 2, 3));
        assertEquals(closed, List.of(4, 5));
        assertEquals(table.size(), 64 + 4);
    }
}
