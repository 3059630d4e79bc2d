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
 * The connections of a protocol's clients, by state: silent (has never sent a request), awaiting a response,
 * idle, or closing. When the registry is full, a silent or idle connection is evicted, but never one that
 * awaits a response. Used on the event loop only.
 *
 * @param <C> a connection
 */
public final class ClientRegistry<C> {
    private final int capacity;
    private final LongSupplier nanoClock;
    private final Consumer<C> closer;
    private final Consumer<C> gracefulCloser;

    /** Each map holds the time at which a connection entered the state, in nanoseconds, the oldest first. */
    private final Map<C, Long> silent = new LinkedHashMap<>();

    private final Map<C, Long> awaitingResponse = new LinkedHashMap<>();
    private final Map<C, Long> idle = new LinkedHashMap<>();
    /** A closing connection disconnects soon, or leaves the state because it sends a request. */
    private final Map<C, Long> closing = new LinkedHashMap<>();

    /**
     * Creates an empty registry.
     *
     * @param capacity maximum of connections, not counting closing ones
     * @param clock the time in nanoseconds, as of {@link System#nanoTime}
     * @param closer closes a connection at once
     * @param gracefulCloser closes a connection unless it sends a request first
     */
    public ClientRegistry(int capacity, LongSupplier clock, Consumer<C> closer, Consumer<C> gracefulCloser) {
        this.capacity = capacity;
        this.nanoClock = clock;
        this.closer = closer;
        this.gracefulCloser = gracefulCloser;
    }

    /** Registers a new connection. If the registry is full, one connection is closed, possibly this one. */
    public void connected(C client) {
        changeState(client, silent);
        if (size() - closing.size() > capacity) {
            evictOne();
        }
    }

    private void evictOne() {
        switch (ClientEvictionPolicy.evict(capacity, silent.size(), idle.size(), closing.size())) {
            case CLOSE_OLDEST_SILENT -> close(oldest(silent));
            case CLOSE_OLDEST_IDLE_GRACEFULLY -> closeGracefully(oldest(idle));
            case CLOSE_OLDEST_IDLE -> close(oldest(idle));
        }
    }

    /** The connection has sent a request and awaits the response. */
    public void becameWaiting(C client) {
        changeState(client, awaitingResponse);
    }

    /** The connection has sent a request before and awaits no response. */
    public void becameIdle(C client) {
        changeState(client, idle);
    }

    /** The connection is closed. */
    public void disconnected(C client) {
        silent.remove(client);
        awaitingResponse.remove(client);
        idle.remove(client);
        closing.remove(client);
    }

    /** Closes a connection without an open request, unless it sends one first. */
    public void closeGracefully(C client) {
        changeState(client, closing);
        gracefulCloser.accept(client);
    }

    /** Returns the number of connections, including closing ones. */
    public int size() {
        return silent.size() + awaitingResponse.size() + idle.size() + closing.size();
    }

    /** Returns all connections except closing ones. */
    public List<C> all() {
        List<C> all = new ArrayList<>(silent.keySet());
        all.addAll(awaitingResponse.keySet());
        all.addAll(idle.keySet());
        return all;
    }

    /**
     * Closes each of these connections with this probability, so that not all clients reconnect at once.
     *
     * @param probability in [0, 1]; 1 closes all
     */
    public static <C> void closeSome(List<C> clients, double probability, Consumer<C> closer) {
        clients.stream()
                .filter(client -> ThreadLocalRandom.current().nextDouble() < probability)
                .forEach(closer);
    }

    /** Gracefully closes connections that have been silent for at least that long. */
    public void closeSilent(long silentNanos) {
        long latestNanos = nanoClock.getAsLong() - silentNanos;
        while (!silent.isEmpty() && silent.values().iterator().next() <= latestNanos) {
            closeGracefully(oldest(silent));
        }
    }

    private void changeState(C client, Map<C, Long> state) {
        disconnected(client);
        state.put(client, nanoClock.getAsLong());
    }

    private static <C> C oldest(Map<C, Long> state) {
        return state.keySet().iterator().next();
    }

    private void close(C client) {
        disconnected(client);
        closer.accept(client);
    }
}
