package lineward.scheduling.estimation;

import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.DoubleStream;

/** The median of the values added within a sliding time window. */
public final class SlidingMedian {
    private record Entry(double addedAtMs, double value) {}

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private final double windowMs;

    /** Creates an empty window. */
    public SlidingMedian(double windowMs) {
        this.windowMs = windowMs;
    }

    /** Adds a value at the current time. */
    public void add(double nowMs, double value) {
        entries.add(new Entry(nowMs, value));
    }

    /** Returns {@link #median(double, double, List)} without additional values. */
    public double median(double nowMs, double priorWeight) {
        return median(nowMs, priorWeight, List.of());
    }

    /**
     * Returns the median, shrunk towards 0; 0 if there are no values. Of an even number of values, the larger
     * of the two middle ones is used.
     *
     * @param priorWeight weight of a prior at 0: with n values, the median is multiplied by n / (n + zeros)
     * @param extraValues additional values for this call only
     */
    public double median(double nowMs, double priorWeight, List<Double> extraValues) {
        while (!entries.isEmpty() && nowMs - entries.peek().addedAtMs() > windowMs) {
            entries.poll();
        }
        DoubleStream added = entries.stream().mapToDouble(Entry::value);
        DoubleStream all = DoubleStream.concat(added, extraValues.stream().mapToDouble(Double::doubleValue));
        double[] sorted = all.sorted().toArray();
        if (sorted.length == 0) {
            return 0;
        }
        return sorted[sorted.length / 2] * sorted.length / (sorted.length + priorWeight);
    }
}
