package lineward.scheduling.state;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * FIFO queues by key. Empty queues are removed.
 *
 * @param <R> the element type
 */
public final class KeyedQueues<R> {
    private final Map<Long, ArrayDeque<R>> queues = new HashMap<>();

    /** Appends an element to the queue of the key. */
    public void add(long key, R element) {
        queues.computeIfAbsent(key, k -> new ArrayDeque<>()).add(element);
    }

    /** Removes an element from the queue of the key; does nothing if it is not queued there. */
    public void remove(long key, R element) {
        ArrayDeque<R> queue = queues.get(key);
        if (queue != null && queue.remove(element) && queue.isEmpty()) {
            queues.remove(key);
        }
    }

    /** Returns whether the element is at the head of the queue of the key. */
    public boolean isFirst(long key, R element) {
        ArrayDeque<R> queue = queues.get(key);
        return queue != null && queue.peek() == element;
    }

    /** Returns the number of keys with queued elements. */
    public int size() {
        return queues.size();
    }
}
