package lineward.core;

import java.util.Comparator;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;

/**
 * A queue of tasks ordered by deadline; tasks with equal deadlines run in insertion order. Times are in
 * milliseconds of the caller's clock. Not thread-safe.
 */
public final class DeadlineQueue {
    /** Handle with which a deadline can be cancelled. */
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
     * @param task called once with the time of the run, unless the deadline is cancelled before
     */
    public Entry add(double atMs, DoubleConsumer task) {
        Entry entry = new Entry(atMs, nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    /** Cancels a deadline. Does nothing if the entry is null or its task has run. */
    public void cancel(Entry entry) {
        if (entry != null) {
            entries.remove(entry);
        }
    }

    /** Runs the tasks of all deadlines up to the given time, which is passed to them. */
    public void runDue(double nowMs) {
        while (!entries.isEmpty() && entries.first().atMs <= nowMs) {
            entries.pollFirst().task.accept(nowMs);
        }
    }
}
