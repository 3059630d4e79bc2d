package lineward.scheduling.estimation;

/**
 * A running mean that clamps the deviation of outliers. The step size decreases with the number of values
 * down to a minimum.
 */
public final class RobustMean {
    private final double maxDeviation;
    private final double minStep;
    private double value;
    private int count;

    /**
     * Creates an empty mean.
     *
     * @param maxDeviation bound to which the deviation of a value from the mean is clamped
     * @param minStep minimum fraction of its deviation by which a value moves the mean
     */
    public RobustMean(double maxDeviation, double minStep) {
        this.maxDeviation = maxDeviation;
        this.minStep = minStep;
    }

    /** Adds a value and returns its deviation from the previous mean, clamped to the maximum deviation. */
    public double add(double added) {
        if (count == 0) {
            value = added;
        }
        count++;
        double deviation = Math.max(-maxDeviation, Math.min(maxDeviation, added - value));
        value += Math.max(minStep, 1.0 / (count + 1)) * deviation;
        return deviation;
    }

    /** Returns the mean; 0 before the first value. */
    public double value() {
        return value;
    }

    /** Returns the number of values added. */
    public int count() {
        return count;
    }
}
