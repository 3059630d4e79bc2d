package lineward.scheduling.estimation;

import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.DoubleStream;

/** The median of the values added within a sliding window of time. */
public final class SlidingMedian {
    private record Entry(double addedAtMs, double value) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double windowMs;

    /** Creates an empty window. */
    public SlidingMedian(double windowMs) {
        this.windowMs = windowMs;
    }

    /** Adds a value at the present time. */
    public void add(double nowMs, double value) {
        entries.add(new Entry(nowMs, value));
    }

    /** Returns {@link #median(double, double, List)} without other values. */
    public double median(double nowMs, double zeros) {
        return median(nowMs, zeros, List.of());
    }

    /**
     * Returns the median, shrunk towards 0; 0 if the window is empty.
     *
     * @param zeros number of prior values of 0 by which the median is shrunk
     * @param others values that count for this call only
     */
    public double median(double nowMs, double zeros, List<Double> others) {
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
