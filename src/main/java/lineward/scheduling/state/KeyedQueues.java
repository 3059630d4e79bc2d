package lineward.scheduling.state;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * A queue for each key, in order of arrival; empty queues are removed.
 *
 * @param <R> the element type
 */
public final class KeyedQueues<R> {
    private final Map<Long, ArrayDeque<R>> queues = new HashMap<>();

    /** Appends to the queue of the key. */
    public void add(long key, R request) {
        queues.computeIfAbsent(key, k -> new ArrayDeque<>()).add(request);
    }

    /** Removes from the queue of the key; ignored if it is not queued there. */
    public void remove(long key, R request) {
        ArrayDeque<R> queue = queues.get(key);
        if (queue != null && queue.remove(request) && queue.isEmpty()) {
            queues.remove(key);
        }
    }

    /** Returns whether it is at the head of the queue of the key. */
    public boolean isFirst(long key, R request) {
        ArrayDeque<R> queue = queues.get(key);
        return queue != null && queue.peek() == request;
    }

    /** Returns the number of keys. */
    public int size() {
        return queues.size();
    }
}
