package peatwick;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/** For each key what was taken under it and is not over, in order; keys with nothing left are forgotten. */
final class KeyLines<R> {
    private final Map<Long, ArrayDeque<R>> lines = new HashMap<>();

    void add(long key, R request) {
        lines.computeIfAbsent(key, k -> new ArrayDeque<>()).add(request);
    }

    void remove(long key, R request) {
        ArrayDeque<R> line = lines.get(key);
        if (line != null && line.remove(request) && line.isEmpty()) {
            lines.remove(key);
        }
    }

    /** Whether nothing taken before it is left. */
    boolean isFirst(long key, R request) {
        ArrayDeque<R> line = lines.get(key);
        return line != null && line.peek() == request;
    }

    int size() {
        return lines.size();
    }
}
