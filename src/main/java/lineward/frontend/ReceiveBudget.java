package lineward.frontend;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Limits the bytes that a protocol server buffers for messages that it can't process yet. A connection
 * reserves the size of a message when its first part is read. If that exceeds the capacity, the connection is
 * not read until the message fits, so that no client loses a request to the messages of others. A client that
 * has sent a complete message before does not wait for those that have not: of these, the one that holds its
 * reservation for longest is closed instead. Used on the event loop only.
 */
public final class ReceiveBudget {
    /** A client connection, as the budget sees it. */
    public interface Connection {
        /** Returns whether the client has ever sent a complete message. */
        boolean hasSentMessage();

        /** Returns whether a response is owed to the client, so that its connection must stay open. */
        boolean awaitsResponse();

        /** Stops reading the connection, or reads it again. */
        void setReadingAllowed(boolean allowed);

        /** Closes the connection, because there is no capacity for its incomplete message. */
        void evict();
    }

    /**
     * Ticks without a read after which a message is stalled. Not measured in time, because after a pause of
     * this process the bytes may have arrived but not been read.
     */
    private static final int STALLED_TICKS = 2;

    /** The bytes reserved by one connection, and the number of the tick before its last read. */
    private record Reservation(long bytes, long lastReadTick) {}

    private final long capacity;
    /** The connections whose messages fit, the longest reserved one first. */
    private final Map<Connection, Reservation> reservations = new LinkedHashMap<>();
    /** The connections that are not read, with the size of their messages; the longest waiting one first. */
    private final Map<Connection, Long> waiting = new LinkedHashMap<>();

    private long used;
    private long tick;

    /**
     * @param capacity maximum number of reserved bytes; a single message may exceed it. A connection that
     *     waits has up to one read in its buffer, which is not counted
     */
    public ReceiveBudget(long capacity) {
        this.capacity = capacity;
    }

    /** Returns the size of the buffer for a message of this size. Buffers grow by doubling. */
    public static long bufferBytes(long messageBytes) {
        return messageBytes <= 1 ? messageBytes : Long.highestOneBit(messageBytes - 1) << 1;
    }

    /** Returns the number of reserved bytes. */
    public long used() {
        return used;
    }

    /** Returns whether the connection is not read for lack of capacity. */
    public boolean isWaiting(Connection connection) {
        return waiting.containsKey(connection);
    }

    /**
     * Records the size of the messages that the connection has received in part, or completely but not
     * processed yet. Called after each read and when a message was processed.
     *
     * @param bytes 0 if nothing is buffered
     */
    public void update(Connection connection, long bytes) {
        if (bytes == 0) {
            remove(connection);
            return;
        }
        Reservation current = reservations.get(connection);
        long additional = bytes - (current == null ? 0 : current.bytes());
        if (connection.hasSentMessage()) {
            evictOthersUntilFits(connection, additional);
        }
        if (fits(connection, additional)) {
            reserve(connection, bytes);
        } else {
            release(connection);
            waiting.put(connection, bytes);
            connection.setReadingAllowed(false);
        }
        resumeWaiting();
    }

    /** Removes a connection that was closed or has nothing buffered. */
    public void remove(Connection connection) {
        release(connection);
        if (waiting.remove(connection) != null) {
            connection.setReadingAllowed(true);
        }
        resumeWaiting();
    }

    /**
     * If connections wait for capacity, closes those that are read but have sent nothing since the last
     * ticks, unless a response is owed to them: the others must not wait for a client that does not complete
     * its message. Called ten times a second.
     */
    public void tick() {
        tick++;
        if (!waiting.isEmpty()) {
            List<Connection> stalled =
                    reservations.keySet().stream().filter(this::isStalled).toList();
            stalled.forEach(this::evict);
            resumeWaiting();
        }
    }

    private boolean isStalled(Connection connection) {
        long ticksSinceRead = tick - reservations.get(connection).lastReadTick();
        return ticksSinceRead > STALLED_TICKS && !connection.awaitsResponse();
    }

    /**
     * Returns whether the connection may reserve further bytes; the only reservation may exceed the capacity.
     */
    private boolean fits(Connection connection, long additional) {
        boolean hasOther = reservations.size() > (reservations.containsKey(connection) ? 1 : 0);
        return used + additional <= capacity || !hasOther;
    }

    private void reserve(Connection connection, long bytes) {
        Reservation before = reservations.put(connection, new Reservation(bytes, tick));
        used += bytes - (before == null ? 0 : before.bytes());
        if (waiting.remove(connection) != null) {
            connection.setReadingAllowed(true);
        }
    }

    private void release(Connection connection) {
        Reservation released = reservations.remove(connection);
        used -= released == null ? 0 : released.bytes();
    }

    private void evictOthersUntilFits(Connection connection, long additional) {
        boolean isEvicting = true;
        while (isEvicting && !fits(connection, additional)) {
            Optional<Connection> longestReserved = reservations.keySet().stream()
                    .filter(other -> !other.hasSentMessage())
                    .findFirst();
            longestReserved.ifPresent(this::evict);
            isEvicting = longestReserved.isPresent();
        }
    }

    private void evict(Connection connection) {
        release(connection);
        connection.evict();
    }

    /** Reads waiting connections again, in order, as long as their messages fit. */
    private void resumeWaiting() {
        boolean isResuming = true;
        while (isResuming && !waiting.isEmpty()) {
            Map.Entry<Connection, Long> first = waiting.entrySet().iterator().next();
            Connection connection = first.getKey();
            long bytes = first.getValue();
            isResuming = fits(connection, bytes);
            if (isResuming) {
                reserve(connection, bytes);
            }
        }
    }
}
