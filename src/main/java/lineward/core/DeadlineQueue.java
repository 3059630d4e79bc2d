package lineward.core;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;

/**
 * Deadlines in the order of their times; equal times run in the order in which they were added. Times are
 * milliseconds of the caller's clock. Used on the event loop only.
 */
public final class DeadlineQueue {
    /** The handle of a deadline, by which it can be cancelled. */
    public static final class Entry {
        private final double atMs;
        private final long sequence;
        private final DoubleConsumer task;

        private Entry(double atMs, long sequence, DoubleConsumer task) {
            this.atMs = atMs;
            this.sequence = sequence;
            this.task = task;
        }
    }

    private static final Comparator<Entry> ORDER =
            Comparator.<Entry>comparingDouble(entry -> entry.atMs).thenComparingLong(entry -> entry.sequence);

    private final TreeSet<Entry> entries = new TreeSet<>(ORDER);
    private long nextSequence;

    /**
     * Adds a deadline.
     *
     * @param task is called once with the time at which it runs, unless the deadline is cancelled first
     */
    public Entry add(double atMs, DoubleConsumer task) {
        Entry entry = new Entry(atMs, nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    /** Cancels a deadline; null, or a deadline that has run, is ignored. */
    public void cancel(Entry entry) {
        if (entry != null) {
            entries.remove(entry);
        }
    }

    /** Runs all deadlines that are due, and passes them the time. */
    public void runDue(double nowMs) {
        while (!entries.isEmpty() && entries.first().atMs <= nowMs) {
            entries.pollFirst().task.accept(nowMs);
        }
    }
}
