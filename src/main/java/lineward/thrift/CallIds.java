package lineward.thrift;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The ids of open and recently ended calls, to detect duplicates. Their number is limited, as a client may
 * end calls as fast as it sends them. Used on the event loop only.
 */
final class CallIds {
    /**
     * Time after the end of a call for which its id stays in use. Clients use each id only once, so another
     * call with that id is a duplicate.
     */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** One connection may use the capacity divided by this, so that it can't keep others from theirs. */
    private static final int CONNECTION_DIVISOR = 4;

    private record EndedId(String id, Object connection, long endedAtNanos) {}

    private final int capacity;
    private final Set<String> inUse = new HashSet<>();
    private final Map<Object, Integer> countByConnection = new HashMap<>();
    /** Ordered by end time, the oldest first. */
    private final Deque<EndedId> ended = new ArrayDeque<>();

    /** @param capacity maximum number of ids in use */
    CallIds(int capacity) {
        this.capacity = capacity;
    }

    /** Returns whether a call with that id is open or has ended recently. */
    boolean isInUse(String id) {
        return inUse.contains(id);
    }

    /** Returns whether a further id of that connection may be marked as in use. */
    boolean hasCapacity(Object connection) {
        int ofConnection = countByConnection.getOrDefault(connection, 0);
        return inUse.size() < capacity && ofConnection < capacity / CONNECTION_DIVISOR;
    }

    /** Marks the id of an admitted call of that connection as in use. */
    void opened(String id, Object connection) {
        inUse.add(id);
        countByConnection.merge(connection, 1, Integer::sum);
    }

    /** Records the end of a call; its id stays in use for {@link #QUARANTINE_NANOS}. */
    void ended(String id, Object connection, long nowNanos) {
        ended.add(new EndedId(id, connection, nowNanos));
    }

    /** Releases the ids of calls that ended at least {@link #QUARANTINE_NANOS} ago. */
    void expire(long nowNanos) {
        long endedBefore = nowNanos - QUARANTINE_NANOS;
        while (!ended.isEmpty() && ended.peek().endedAtNanos() <= endedBefore) {
            EndedId expired = ended.poll();
            inUse.remove(expired.id());
            countByConnection.computeIfPresent(
                    expired.connection(), (connection, count) -> count == 1 ? null : count - 1);
        }
    }
}
