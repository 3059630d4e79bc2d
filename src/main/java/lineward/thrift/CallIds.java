package lineward.thrift;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The ids of calls that are open or ended recently, to detect duplicates. Used on the event loop only. */
final class CallIds {
    /** Clients use an id once; an id that returns this soon after its call ended marks a duplicate. */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private record EndedId(String id, long endedAtNanos) {}

    private final Set<String> inUse = new HashSet<>();
    /** In the order of their ends. */
    private final Deque<EndedId> ended = new ArrayDeque<>();

    /** Returns whether a call with that id is open or ended recently. */
    boolean isInUse(String id) {
        return inUse.contains(id);
    }

    /** A call with that id is admitted. */
    void opened(String id) {
        inUse.add(id);
    }

    /** The call with that id has ended; the id stays in use for {@link #QUARANTINE_NANOS}. */
    void ended(String id, long nowNanos) {
        ended.add(new EndedId(id, nowNanos));
    }

    /** Allows the ids again whose calls ended at least {@link #QUARANTINE_NANOS} ago. */
    void expire(long nowNanos) {
        long endedBefore = nowNanos - QUARANTINE_NANOS;
        while (!ended.isEmpty() && ended.peek().endedAtNanos() <= endedBefore) {
            inUse.remove(ended.poll().id());
        }
    }
}
