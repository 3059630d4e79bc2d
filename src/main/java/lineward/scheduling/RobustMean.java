package lineward.scheduling;

/** A running mean whose outliers are cut off; it moves fast at first, then slowly. */
final class RobustMean {
    private final double maxDeviation;
    private final double minStep;
    private double value;
    private int count;

    /**
     * Creates an empty mean.
     *
     * @param maxDeviation a value counts as no further than this from the mean
     * @param minStep the least ratio of its deviation by which a value moves the mean
     */
    RobustMean(double maxDeviation, double minStep) {
        this.maxDeviation = maxDeviation;
        this.minStep = minStep;
    }

    /** Adds a value and returns its deviation from the mean so far, cut off. */
    double add(double added) {
        if (count == 0) {
            value = added;
        }
        count++;
        double deviation = Math.max(-maxDeviation, Math.min(maxDeviation, added - value));
        value += Math.max(minStep, 1.0 / (count + 1)) * deviation;
        return deviation;
    }

    double value() {
        return value;
    }

    int count() {
        return count;
    }
}
