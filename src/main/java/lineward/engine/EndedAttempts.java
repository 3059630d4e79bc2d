package lineward.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * Attempts that have ended on a connection, while a late or duplicate reply to them may still arrive. Their
 * ids must not be used again on the connection until their timeouts have passed. Used on the event loop only.
 */
final class EndedAttempts {
    /** Bounds the ids at an engine that rejects every request; a full connection accepts no attempts. */
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
