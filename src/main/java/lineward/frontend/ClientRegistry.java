package lineward.frontend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import lineward.scheduling.decision.ClientEvictionPolicy;

/**
 * The client connections of a protocol server, by state: silent (has not sent a request yet), awaiting a
 * response, idle, or closing. If a new connection exceeds the capacity, a silent or idle connection is
 * evicted, but never one that awaits a response. Used on the event loop only.
 *
 * @param <C> type of a connection
 */
public final class ClientRegistry<C> {
    private final int capacity;
    private final LongSupplier nanoClock;
    private final Consumer<C> closer;
    private final Consumer<C> gracefulCloser;

    /** Each map holds the time in nanoseconds at which a connection entered the state, oldest first. */
    private final Map<C, Long> silent = new LinkedHashMap<>();

    private final Map<C, Long> awaitingResponse = new LinkedHashMap<>();
    private final Map<C, Long> idle = new LinkedHashMap<>();
    /** A closing connection leaves this state when it disconnects or sends another request. */
    private final Map<C, Long> closing = new LinkedHashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param capacity maximum number of connections that are not closing
     * @param monotonicNanoClock time in nanoseconds, like {@link System#nanoTime}
     * @param closer closes a connection immediately
     * @param gracefulCloser closes a connection, unless a request arrives on it before the close
     */
    public ClientRegistry(
            int capacity, LongSupplier monotonicNanoClock, Consumer<C> closer, Consumer<C> gracefulCloser) {
        this.capacity = capacity;
        this.nanoClock = monotonicNanoClock;
        this.closer = closer;
        this.gracefulCloser = gracefulCloser;
    }

    /** Registers a new connection. If that exceeds the capacity, closes a connection, possibly this one. */
    public void connected(C client) {
        changeState(client, silent);
        if (size() - closing.size() > capacity) {
            evictOne();
        }
    }

    private void evictOne() {
        switch (ClientEvictionPolicy.selectEviction(capacity, silent.size(), idle.size(), closing.size())) {
            case CLOSE_OLDEST_SILENT -> close(oldest(silent));
            case CLOSE_OLDEST_IDLE_GRACEFULLY -> closeGracefully(oldest(idle));
            case CLOSE_OLDEST_IDLE -> close(oldest(idle));
        }
    }

    /** Records that the connection has sent a request and awaits the response. */
    public void markAwaitingResponse(C client) {
        changeState(client, awaitingResponse);
    }

    /** Records that the connection, which has sent a request before, awaits no response. */
    public void markIdle(C client) {
        changeState(client, idle);
    }

    /** Removes a connection that was closed. */
    public void remove(C client) {
        silent.remove(client);
        awaitingResponse.remove(client);
        idle.remove(client);
        closing.remove(client);
    }

    /** Closes a connection that awaits no response, unless a request arrives on it before the close. */
    public void closeGracefully(C client) {
        changeState(client, closing);
        gracefulCloser.accept(client);
    }

    /** Returns the number of connections, including closing ones. */
    public int size() {
        return silent.size() + awaitingResponse.size() + idle.size() + closing.size();
    }

    /** Returns all connections except closing ones. */
    public List<C> openClientConnections() {
        List<C> connections = new ArrayList<>(silent.keySet());
        connections.addAll(awaitingResponse.keySet());
        connections.addAll(idle.keySet());
        return connections;
    }

    /**
     * Closes each of the connections with the given probability, so that not all clients reconnect at the
     * same time.
     *
     * @param probability between 0 and 1; 1 closes all connections
     */
    public static <C> void closeRandomly(List<C> clients, double probability, Consumer<C> closer) {
        clients.stream()
                .filter(client -> ThreadLocalRandom.current().nextDouble() < probability)
                .forEach(closer);
    }

    /** Gracefully closes the connections that have been silent for at least this long. */
    public void closeSilent(long silentNanos) {
        long latestNanos = nanoClock.getAsLong() - silentNanos;
        while (!silent.isEmpty() && silent.values().iterator().next() <= latestNanos) {
            closeGracefully(oldest(silent));
        }
    }

    private void changeState(C client, Map<C, Long> state) {
        remove(client);
        state.put(client, nanoClock.getAsLong());
    }

    private static <C> C oldest(Map<C, Long> state) {
        return state.keySet().iterator().next();
    }

    private void close(C client) {
        remove(client);
        closer.accept(client);
    }
}
