package lineward.scheduling;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * A queue for each key, in order of arrival; keys with nothing left are forgotten.
 *
 * @param <R> what is queued
 */
final class KeyedQueues<R> {
    private final Map<Long, ArrayDeque<R>> queues = new HashMap<>();

    void add(long key, R request) {
        queues.computeIfAbsent(key, k -> new ArrayDeque<>()).add(request);
    }

    void remove(long key, R request) {
        ArrayDeque<R> queue = queues.get(key);
        if (queue != null && queue.remove(request) && queue.isEmpty()) {
            queues.remove(key);
        }
    }

    /** Returns whether nothing added before it is left. */
    boolean isFirst(long key, R request) {
        ArrayDeque<R> queue = queues.get(key);
        return queue != null && queue.peek() == request;
    }

    /** Returns the number of keys. */
    int size() {
        return queues.size();
    }
}
