package lineward.scheduling.estimation;

import java.util.ArrayDeque;

/** The sum of the amounts added within a sliding time window. */
public final class SlidingWindowSum {
    private record Entry(double addedAtMs, double amount) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double windowMs;
    private double sum;

    /** Creates an empty window. */
    public SlidingWindowSum(double windowMs) {
        this.windowMs = windowMs;
    }

    /** Adds an amount at the current time. */
    public void add(double nowMs, double amount) {
        evictExpired(nowMs);
        entries.add(new Entry(nowMs, amount));
        sum += amount;
    }

    /** Returns the sum of the amounts within the window. */
    public double sum(double nowMs) {
        evictExpired(nowMs);
        return sum;
    }

    private void evictExpired(double nowMs) {
        while (!entries.isEmpty() && entries.peek().addedAtMs() < nowMs - windowMs) {
            sum -= entries.poll().amount();
        }
        if (entries.isEmpty()) {
            // Discards accumulated rounding errors.
            sum = 0;
        }
    }
}
