package lineward.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * Ids of attempts that ended on a connection while a reply to them may still come, a duplicate perhaps.
 * Until their timeouts pass these ids must not be used again there.
 */
final class EndedAttempts {
    /** An engine that rejects everything must not let ids pile up; a full connection accepts no attempts. */
    static final int MAX_ATTEMPTS = 1024;

    private final Map<String, QueryAttempt> attempts = new HashMap<>();

    void add(QueryAttempt attempt) {
        attempts.put(attempt.id, attempt);
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
