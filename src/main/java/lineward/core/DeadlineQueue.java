package lineward.core;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;

/** All that is due at some time, in one ordered structure; equal times run in the order they came. */
public final class DeadlineQueue {
    /** A deadline that can be taken back. */
    public static final class Entry {
        private final double at;
        private final long sequence;
        private final DoubleConsumer task;

        private Entry(double at, long sequence, DoubleConsumer task) {
            this.at = at;
            this.sequence = sequence;
            this.task = task;
        }
    }

    private final TreeSet<Entry> entries =
            new TreeSet<>(Comparator.<Entry>comparingDouble(e -> e.at).thenComparingLong(e -> e.sequence));
    private long nextSequence;

    /** Returns the handle by which {@link #cancel} finds it. */
    public Entry add(double at, DoubleConsumer task) {
        Entry entry = new Entry(at, nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    /** Takes a deadline back; one that has run, or null, is passed over. */
    public void cancel(Entry entry) {
        if (entry != null) {
            entries.remove(entry);
        }
    }

    /** Runs all that is due; each task gets the clock. */
    public void runDue(double now) {
        while (!entries.isEmpty() && entries.first().at <= now) {
            entries.pollFirst().task.accept(now);
        }
    }
}
