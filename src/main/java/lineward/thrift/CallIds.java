package lineward.thrift;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The ids of calls that are open or ended a moment ago, by which a duplicate call is known. */
final class CallIds {
    /** An id is new with every call; one that comes again so soon after its end is a duplicate. */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private record EndedId(String id, long endedAtNanos) {}

    private final Set<String> inUse = new HashSet<>();
    /** The earliest end first. */
    private final Deque<EndedId> ended = new ArrayDeque<>();

    boolean isInUse(String id) {
        return inUse.contains(id);
    }

    /** A call of that id is open. */
    void opened(String id) {
        inUse.add(id);
    }

    /** The call of that id has ended; the id stays in use for a while. */
    void ended(String id, long nowNanos) {
        ended.add(new EndedId(id, nowNanos));
    }

    /** Frees the ids whose calls ended long enough ago. */
    void expire(long nowNanos) {
        long endedBefore = nowNanos - QUARANTINE_NANOS;
        while (!ended.isEmpty() && ended.peek().endedAtNanos() <= endedBefore) {
            inUse.remove(ended.poll().id());
        }
    }
}
