package lineward.frontend;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Limits the bytes of replies that a protocol server has written but its clients have not read. A reply that
 * is sent in parts goes on only while there is capacity, and each part may exceed it; a short reply is sent
 * at once, but the next one to this client waits. While the capacity is used up, connections whose clients
 * read nothing are closed. Used on the event loop only.
 */
public final class SendBudget {
    /** A client connection, as the budget sees it. */
    public interface Connection {
        /** Returns the bytes that are written to the connection and not sent to its socket. */
        long pendingBytes();

        /** Continues the reply that waits for capacity. */
        void resume();

        /** Closes the connection, because its client does not read. */
        void evict();
    }

    /** Ticks without any byte read after which a client counts as stalled: one second. */
    private static final int STALLED_TICKS = 10;

    /** The unread bytes of one connection, and the tick at which its client was last seen to read. */
    private static final class Unread {
        private long bytes;
        private long lastPendingBytes;
        private long lastReadTick;
    }

    private final long capacity;
    private final Map<Connection, Unread> unreadByConnection = new HashMap<>();
    /** The connections whose replies wait for capacity, the longest waiting one first. */
    private final Set<Connection> waiting = new LinkedHashSet<>();

    private long used;
    private long tick;

    /** @param capacity number of unread bytes from which no further part of a reply is sent */
    public SendBudget(long capacity) {
        this.capacity = capacity;
    }

    /** Returns the number of unread bytes. */
    public long used() {
        return used;
    }

    /** Returns whether a command may be processed whose reply is short. */
    public boolean acceptsCommand(Connection connection) {
        return hasCapacity() || !unreadByConnection.containsKey(connection);
    }

    /** Returns whether the next part of a reply may be sent; if not, the connection is resumed later. */
    public boolean acceptsPart(Connection connection) {
        if (!hasCapacity()) {
            waiting.add(connection);
        }
        return hasCapacity();
    }

    private boolean hasCapacity() {
        return used < capacity;
    }

    /** Records that bytes are being written to the connection. */
    public void started(Connection connection, long bytes) {
        Unread unread = unreadByConnection.computeIfAbsent(connection, added -> new Unread());
        if (unread.bytes == 0) {
            unread.lastReadTick = tick;
        }
        unread.bytes += bytes;
        used += bytes;
    }

    /** Records that bytes were sent to the socket, or that their write has failed. */
    public void ended(Connection connection, long bytes) {
        used -= bytes;
        Unread unread = unreadByConnection.get(connection);
        unread.bytes -= bytes;
        unread.lastReadTick = tick;
        if (unread.bytes == 0) {
            unreadByConnection.remove(connection);
        }
        resumeWaiting();
    }

    /** Forgets that the connection waits, because it was closed. */
    public void remove(Connection connection) {
        waiting.remove(connection);
    }

    private void resumeWaiting() {
        while (hasCapacity() && !waiting.isEmpty()) {
            Connection next = waiting.iterator().next();
            waiting.remove(next);
            next.resume();
        }
    }

    /** Closes the stalled connections while the capacity is used up. Called ten times a second. */
    public void tick() {
        tick++;
        unreadByConnection.forEach(this::observe);
        if (!hasCapacity()) {
            List<Connection> stalled = new ArrayList<>(unreadByConnection.keySet());
            stalled.removeIf(connection -> !isStalled(connection));
            stalled.forEach(Connection::evict);
        }
    }

    private void observe(Connection connection, Unread unread) {
        long pendingBytes = connection.pendingBytes();
        if (pendingBytes != unread.lastPendingBytes) {
            unread.lastPendingBytes = pendingBytes;
            unread.lastReadTick = tick;
        }
    }

    private boolean isStalled(Connection connection) {
        return tick - unreadByConnection.get(connection).lastReadTick > STALLED_TICKS;
    }
}
