package lineward.scheduling;

import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.DoubleStream;

/** The median of the values added within a sliding window of time. */
final class SlidingMedian {
    private record Entry(double addedAtMs, double value) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double windowMs;

    SlidingMedian(double windowMs) {
        this.windowMs = windowMs;
    }

    void add(double nowMs, double value) {
        entries.add(new Entry(nowMs, value));
    }

    /** Returns the median, drawn towards 0 as so many values of 0 beside those added would draw a mean. */
    double median(double nowMs, double zeros) {
        return median(nowMs, zeros, List.of());
    }

    /**
     * Returns the median, drawn towards 0 as so many values of 0 beside those added would draw a mean.
     *
     * @param others values that count this once like those added
     */
    double median(double nowMs, double zeros, List<Double> others) {
        while (!entries.isEmpty() && nowMs - entries.peek().addedAtMs() > windowMs) {
            entries.poll();
        }
        DoubleStream added = entries.stream().mapToDouble(Entry::value);
        DoubleStream all = DoubleStream.concat(added, others.stream().mapToDouble(Double::doubleValue));
        double[] sorted = all.sorted().toArray();
        if (sorted.length == 0) {
            return 0;
        }
        return sorted[sorted.length / 2] * sorted.length / (sorted.length + zeros);
    }
}
