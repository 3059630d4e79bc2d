package lineward.frontend;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which connections are evicted or closed, and how many of them gracefully. */
public class ClientRegistryTest {
    @DataProvider
    public Object[][] probabilities() {
        return new Object[][] {{0.0, 0, 0}, {0.1, 40, 160}, {1.0, 1000, 1000}};
    }

    @Test(dataProvider = "probabilities")
    public void closeRandomlyClosesAboutThatFraction(double probability, int minimum, int maximum) {
        List<Integer> closed = new ArrayList<>();
        ClientRegistry.closeRandomly(IntStream.range(0, 1000).boxed().toList(), probability, closed::add);
        assertTrue(closed.size() >= minimum && closed.size() <= maximum, closed.size() + " closed");
    }

    @Test
    public void theOldestSilentConnectionIsEvictedAndOneAwaitingAResponseNeverIs() {
        List<String> closed = new ArrayList<>();
        List<String> closing = new ArrayList<>();
        ClientRegistry<String> registry = new ClientRegistry<>(3, () -> 0, closed::add, closing::add);
        registry.connected("awaiting");
        registry.markAwaitingResponse("awaiting");
        registry.connected("first");
        registry.connected("second");
        registry.connected("third");
        assertEquals(closed, List.of("first"));
        registry.closeSilent(0);
        assertEquals(closed, List.of("first"), "silent connections are closed gracefully");
        assertEquals(closing, List.of("second", "third"));
        assertEquals(registry.openClientConnections(), List.of("awaiting"));
        assertEquals(registry.size(), 3, "closing connections count until they are disconnected");
        registry.remove("second");
        registry.markAwaitingResponse("third");
        assertEquals(
                registry.openClientConnections(),
                List.of("awaiting", "third"),
                "a request reopens a closing connection");
    }

    /** Closing connections use file descriptors beyond the capacity, so only a few may close gracefully. */
    @Test
    public void gracefulClosesAreBounded() {
        List<Integer> closed = new ArrayList<>();
        List<Integer> closing = new ArrayList<>();
        ClientRegistry<Integer> registry = new ClientRegistry<>(64, () -> 0, closed::add, closing::add);
        for (int i = 0; i < 64 + 6; i++) {
            registry.connected(i);
            registry.markIdle(i);
        }
        assertEquals(closing, List.of(0, 1, 2, 3));
        assertEquals(closed, List.of(4, 5));
        assertEquals(registry.size(), 64 + 4);
    }
}
