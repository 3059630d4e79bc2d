package peatwick;

import java.util.ArrayDeque;

/** The values of the last while, and their middle. */
final class Recent {
    private record Entry(double at, double value) { }

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double length;

    Recent(double length) {
        this.length = length;
    }

    void add(double now, double value) {
        entries.add(new Entry(now, value));
    }

    /** The median, drawn towards 0 as so many values of 0 beside those seen would draw a mean. */
    double middle(double now, double zeros) {
        while (!entries.isEmpty() && now - entries.peek().at() > length) {
            entries.poll();
        }
        double[] sorted = entries.stream().mapToDouble(Entry::value).sorted().toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2] * sorted.length / (sorted.length + zeros);
    }
}
