package lineward.frontend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * The connections of a front's clients, by what they are at: some have never spoken, some wait for an answer,
 * some rest. When room is short those make way that miss it least; who waits for an answer never does.
 *
 * @param <C> a connection
 */
public final class ClientRegistry<C> {
    /** Part of the table that may be taken by those that never spoke: a crowd of them evicts its own. */
    private static final int SILENT_PART = 4;
    /** Part of the table that may leave in order where room is short: they hold descriptors beside it. */
    private static final int LEAVING_PART = 16;

    private final int most;
    private final LongSupplier nanoClock;
    private final Consumer<C> closer;
    private final Consumer<C> leaver;
    /** Each with the time since when; the longest there first. */
    private final Map<C, Long> silent = new LinkedHashMap<>();

    private final Map<C, Long> waiting = new LinkedHashMap<>();
    private final Map<C, Long> resting = new LinkedHashMap<>();
    /** Told to leave: each is gone soon, or speaks and is among the others again. */
    private final Map<C, Long> leaving = new LinkedHashMap<>();

    /**
     * @param most connections held at once
     * @param closer closes a connection at once
     * @param leaver lets a connection end in order, unless it speaks first
     */
    public ClientRegistry(int most, LongSupplier nanoClock, Consumer<C> closer, Consumer<C> leaver) {
        this.most = most;
        this.nanoClock = nanoClock;
        this.closer = closer;
        this.leaver = leaver;
    }

    /** A connection has come; where there is no room, one closes: perhaps this one. */
    public void connected(C client) {
        move(client, silent);
        if (size() - leaving.size() <= most) {
            return;
        }
        if (silent.size() > most / SILENT_PART || resting.isEmpty()) {
            close(first(silent));
        } else if (leaving.size() < most / LEAVING_PART) {
            closeGracefully(first(resting));
        } else {
            close(first(resting));
        }
    }

    /** It has asked for something and waits. */
    public void markWaiting(C client) {
        move(client, waiting);
    }

    /** It has spoken and waits for nothing. */
    public void markIdle(C client) {
        move(client, resting);
    }

    /** It is gone. */
    public void disconnected(C client) {
        silent.remove(client);
        waiting.remove(client);
        resting.remove(client);
        leaving.remove(client);
    }

    /** Lets a connection that waits for nothing end in order. */
    public void closeGracefully(C client) {
        move(client, leaving);
        leaver.accept(client);
    }

    /** Returns the connections held, those that are leaving included. */
    public int size() {
        return silent.size() + waiting.size() + resting.size() + leaving.size();
    }

    /** Returns all connections but those that are leaving. */
    public List<C> all() {
        List<C> all = new ArrayList<>(silent.keySet());
        all.addAll(waiting.keySet());
        all.addAll(resting.keySet());
        return all;
    }

    /** Closes each of these connections with that chance, so that few close at a time; 1 closes all. */
    public static <C> void closeSome(List<C> resting, double chance, Consumer<C> closer) {
        resting.stream()
                .filter(c -> ThreadLocalRandom.current().nextDouble() < chance)
                .forEach(closer);
    }

    /** Lets the connections go that have come and said nothing in all that time. */
    public void closeSilent(long nanos) {
        long before = nanoClock.getAsLong() - nanos;
        while (!silent.isEmpty() && silent.values().iterator().next() <= before) {
            closeGracefully(first(silent));
        }
    }

    private void move(C client, Map<C, Long> to) {
        disconnected(client);
        to.put(client, nanoClock.getAsLong());
    }

    private static <C> C first(Map<C, Long> some) {
        return some.keySet().iterator().next();
    }

    private void close(C client) {
        disconnected(client);
        closer.accept(client);
    }
}
