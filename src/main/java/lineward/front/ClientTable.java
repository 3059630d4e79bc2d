package lineward.front;

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
public final class ClientTable<C> {
    /** Part of the table that may be taken by those that never spoke: a crowd of them evicts its own. */
    private static final int SILENT_PART = 4;

    private final int most;
    private final LongSupplier nanoClock;
    private final Consumer<C> closer;
    /** Each with the time since when; the longest there first. */
    private final Map<C, Long> silent = new LinkedHashMap<>();
    private final Map<C, Long> waiting = new LinkedHashMap<>();
    private final Map<C, Long> resting = new LinkedHashMap<>();

    /**
     * @param most connections held at once
     * @param closer closes a connection
     */
    public ClientTable(int most, LongSupplier nanoClock, Consumer<C> closer) {
        this.most = most;
        this.nanoClock = nanoClock;
        this.closer = closer;
    }

    /** A connection has come; where there is no room, one closes: perhaps this one. */
    public void arrived(C client) {
        move(client, silent);
        if (size() > most) {
            close(first(silent.size() > most / SILENT_PART || resting.isEmpty() ? silent : resting));
        }
    }

    /** It has asked for something and waits. */
    public void waits(C client) {
        move(client, waiting);
    }

    /** It has spoken and waits for nothing. */
    public void rests(C client) {
        move(client, resting);
    }

    /** It is gone. */
    public void left(C client) {
        silent.remove(client);
        waiting.remove(client);
        resting.remove(client);
    }

    /** @return the connections held */
    public int size() {
        return silent.size() + waiting.size() + resting.size();
    }

    /** @return all connections, those that wait included */
    public List<C> all() {
        List<C> all = new ArrayList<>(silent.keySet());
        all.addAll(waiting.keySet());
        all.addAll(resting.keySet());
        return all;
    }

    /** Closes each of these connections with that chance, so that few close at a time; 1 closes all. */
    public static <C> void closeSome(List<C> resting, double chance, Consumer<C> closer) {
        resting.stream().filter(c -> ThreadLocalRandom.current().nextDouble() < chance).forEach(closer);
    }

    /** Closes the connections that have come and said nothing in all that time. */
    public void closeSilent(long nanos) {
        long before = nanoClock.getAsLong() - nanos;
        while (!silent.isEmpty() && silent.values().iterator().next() <= before) {
            close(first(silent));
        }
    }

    private void move(C client, Map<C, Long> to) {
        left(client);
        to.put(client, nanoClock.getAsLong());
    }

    private static <C> C first(Map<C, Long> some) {
        return some.keySet().iterator().next();
    }

    private void close(C client) {
        left(client);
        closer.accept(client);
    }
}
