package peatwick;

import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.DoubleStream;

/** The values of the last while, and their middle. */
final class Recent {
    private record Entry(double at, double value) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double length;

    Recent(double length) {
        this.length = length;
    }

    void add(double now, double value) {
        entries.add(new Entry(now, value));
    }

    /**
     * The median, drawn towards 0 as so many values of 0 beside those seen would draw a mean.
     *
     * @param beside values of now alone, which count like those seen
     */
    double middle(double now, double zeros, List<Double> beside) {
        while (!entries.isEmpty() && now - entries.peek().at() > length) {
            entries.poll();
        }
        double[] sorted = DoubleStream.concat(
                        entries.stream().mapToDouble(Entry::value),
                        beside.stream().mapToDouble(x -> x))
                .sorted()
                .toArray();
        return sorted.length == 0 ? 0 : sorted[sorted.length / 2] * sorted.length / (sorted.length + zeros);
    }
}
