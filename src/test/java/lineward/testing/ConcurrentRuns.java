package lineward.testing;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Records requests that run more than once at the same time. Thread-safe: all engines call it. */
public final class ConcurrentRuns {
    private final Set<String> running = ConcurrentHashMap.newKeySet();
    private final Set<String> duplicates = ConcurrentHashMap.newKeySet();

    void started(String requestId) {
        if (!running.add(requestId)) {
            duplicates.add(requestId);
        }
    }

    void ended(String requestId) {
        running.remove(requestId);
    }

    /** Returns the requests that ever ran twice at the same time. */
    public Set<String> duplicates() {
        return duplicates;
    }
}
