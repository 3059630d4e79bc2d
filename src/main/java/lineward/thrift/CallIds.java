package lineward.thrift;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The ids of open and recently ended calls, to detect duplicates. Used on the event loop only. */
final class CallIds {
    /**
     * Time after the end of a call for which its id stays in use. Clients use each id only once, so another
     * call with that id is a duplicate.
     */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private record EndedId(String id, long endedAtNanos) {}

    private final Set<String> inUse = new HashSet<>();
    /** Ordered by end time, the oldest first. */
    private final Deque<EndedId> ended = new ArrayDeque<>();

    /** Returns whether a call with that id is open or has ended recently. */
    boolean isInUse(String id) {
        return inUse.contains(id);
    }

    /** Marks the id of an admitted call as in use. */
    void opened(String id) {
        inUse.add(id);
    }

    /** Records the end of a call; its id stays in use for {@link #QUARANTINE_NANOS}. */
    void ended(String id, long nowNanos) {
        ended.add(new EndedId(id, nowNanos));
    }

    /** Releases the ids of calls that ended at least {@link #QUARANTINE_NANOS} ago. */
    void expire(long nowNanos) {
        long endedBefore = nowNanos - QUARANTINE_NANOS;
        while (!ended.isEmpty() && ended.peek().endedAtNanos() <= endedBefore) {
            inUse.remove(ended.poll().id());
        }
    }
}
