package lineward.thrift;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * The ids of open and recently ended calls, to detect duplicates. Their number is limited, and the connection
 * with the most ids is limited first. An ended call is remembered if it may have reached an engine; another
 * call with the id of one that has not runs for the first time. Used on the event loop only.
 */
final class CallIds {
    /**
     * Time after the end of a call for which its id stays in use. Clients use each id only once, so another
     * call with that id is a duplicate.
     */
    private static final long QUARANTINE_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** The ids of calls that end within this time are released together. */
    private static final long SLICE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * A connection may use this many times the free capacity. So one connection may use four fifths of the
     * capacity if others need less, and several large ones get equal parts.
     */
    private static final int FREE_CAPACITY_MULTIPLE = 4;
    /** An odd number; see {@link #numberOf}. */
    private static final long CAPITALS_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** The calls that end in one slice of time. */
    private record Slice(int number, long startNanos) {
        boolean accepts(long nowNanos) {
            return nowNanos - startNanos < SLICE_NANOS;
        }

        boolean isExpired(long nowNanos) {
            return nowNanos - startNanos >= SLICE_NANOS + QUARANTINE_NANOS;
        }
    }

    private final int capacity;
    private final CallIdTable table = new CallIdTable();
    /** The slices in which calls have ended, the oldest first. */
    private final Deque<Slice> slices = new ArrayDeque<>();

    private int lastSliceNumber;

    /** @param capacity maximum number of ids in use */
    CallIds(int capacity) {
        this.capacity = capacity;
    }

    /**
     * Returns the number that identifies an id of 16 hexadecimal digits. Ids without capital letters have
     * different numbers; for others the chance of equal numbers is 2^-64.
     */
    static long numberOf(String id) {
        long number = 0;
        int capitals = 0;
        for (int i = 0; i < id.length(); i++) {
            char digit = id.charAt(i);
            boolean isLetter = digit >= 'A';
            number = (number << 4) + (digit & 0xf) + (isLetter ? 9 : 0);
            capitals = (capitals << 1) + (isLetter && digit <= 'F' ? 1 : 0);
        }
        return number + capitals * CAPITALS_MULTIPLIER;
    }

    /** Returns whether a call with that id is open or has ended recently. */
    boolean isInUse(long id) {
        return table.contains(id);
    }

    /** Returns the number of ids in use. */
    int size() {
        return table.size();
    }

    /** Returns whether a further id of that connection may be marked as in use. */
    boolean hasCapacity(ClientCallIds client) {
        long free = (long) capacity - table.size();
        return client.count() < FREE_CAPACITY_MULTIPLE * free;
    }

    /** Marks the id of an admitted call of that connection as in use. */
    void opened(long id, ClientCallIds client) {
        table.open(id, client);
    }

    /** Records the end of a call that has not reached an engine, and releases its id. */
    void endedUnsent(long id) {
        table.release(id);
    }

    /** Records the end of a call; its id stays in use for {@link #QUARANTINE_NANOS}. */
    void ended(long id, long nowNanos) {
        if (slices.isEmpty() || !slices.getLast().accepts(nowNanos)) {
            lastSliceNumber = (lastSliceNumber + 1) % CallIdTable.SLICES;
            slices.add(new Slice(lastSliceNumber, nowNanos));
        }
        table.end(id, slices.getLast().number());
    }

    /** Releases the ids of calls that ended longer ago than {@link #QUARANTINE_NANOS}. */
    void expire(long nowNanos) {
        while (!slices.isEmpty() && slices.getFirst().isExpired(nowNanos)) {
            table.releaseSlice(slices.removeFirst().number());
        }
    }
}
