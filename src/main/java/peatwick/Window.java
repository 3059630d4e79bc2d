package peatwick;

import java.util.ArrayDeque;

/** Amounts of the recent past, summed over a sliding window of fixed length. */
final class Window {
    private record Entry(double at, double amount) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double length;
    private double sum;

    Window(double length) {
        this.length = length;
    }

    void add(double now, double amount) {
        sum(now);
        entries.add(new Entry(now, amount));
        sum += amount;
    }

    /** The sum of what was added no longer than the window ago. */
    double sum(double now) {
        while (!entries.isEmpty() && entries.peek().at() < now - length) {
            sum -= entries.poll().amount();
        }
        if (entries.isEmpty()) {
            sum = 0;
        }
        return sum;
    }
}
