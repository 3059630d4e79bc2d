package lineward.core;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the order in which deadlines run, and their cancellation. */
public class DeadlineQueueTest {
    @Test
    public void deadlinesRunOnceInOrderUnlessCancelled() {
        DeadlineQueue deadlines = new DeadlineQueue();
        List<String> executed = new ArrayList<>();
        deadlines.add(20, atMs -> executed.add("c"));
        deadlines.add(10, atMs -> executed.add("a"));
        deadlines.add(10, atMs -> executed.add("b"));
        deadlines.cancel(deadlines.add(5, atMs -> executed.add("never")));
        deadlines.cancel(null);
        deadlines.runDue(19);
        assertEquals(executed, List.of("a", "b"));
        deadlines.runDue(20);
        deadlines.runDue(30);
        assertEquals(executed, List.of("a", "b", "c"));
    }
}
