package lineward.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * Ended attempts of a connection to which late or duplicate replies may still arrive. Their ids must not be
 * reused on the connection until their timeouts have passed. Used on the event loop only.
 */
final class EndedAttempts {
    /** Bounds the ids kept if an engine rejects every request; at the limit, no attempts are accepted. */
    static final int MAX_ATTEMPTS = 1024;

    private final Map<String, QueryAttempt> attempts = new HashMap<>();

    void add(QueryAttempt attempt) {
        attempts.put(attempt.id(), attempt);
    }

    boolean contains(String id) {
        return attempts.containsKey(id);
    }

    boolean isFull() {
        return attempts.size() >= MAX_ATTEMPTS;
    }

    void removeExpired(long nowNanos) {
        attempts.values().removeIf(attempt -> attempt.isExpired(nowNanos));
    }
}
