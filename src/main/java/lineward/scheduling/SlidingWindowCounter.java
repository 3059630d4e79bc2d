package lineward.scheduling;

import java.util.ArrayDeque;

/** The sum of the amounts added within a sliding window of time. */
final class SlidingWindowCounter {
    private record Entry(double addedAtMs, double amount) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double windowMs;
    private double sum;

    SlidingWindowCounter(double windowMs) {
        this.windowMs = windowMs;
    }

    void add(double nowMs, double amount) {
        evictExpired(nowMs);
        entries.add(new Entry(nowMs, amount));
        sum += amount;
    }

    /** Returns the sum of what was added no longer than the window ago. */
    double sum(double nowMs) {
        evictExpired(nowMs);
        return sum;
    }

    private void evictExpired(double nowMs) {
        while (!entries.isEmpty() && entries.peek().addedAtMs() < nowMs - windowMs) {
            sum -= entries.poll().amount();
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
    }
}
