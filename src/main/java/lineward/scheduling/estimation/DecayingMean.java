package lineward.scheduling.estimation;

/** A mean of values whose weights decay exponentially with age. */
public final class DecayingMean {
    private final double halfLifeMs;
    private double sum;
    private double count;
    private double decayedAtMs;

    /** Creates an empty mean. */
    public DecayingMean(double halfLifeMs) {
        this.halfLifeMs = halfLifeMs;
    }

    /** Adds a value with weight 1. */
    public void add(double nowMs, double value) {
        decay(nowMs);
        sum += value;
        count++;
    }

    /** Returns the decayed number of values: the sum of their current weights. */
    public double count(double nowMs) {
        decay(nowMs);
        return count;
    }

    /** Returns the mean of the added values and of {@code priorCount} prior values of {@code priorValue}. */
    public double mean(double nowMs, double priorCount, double priorValue) {
        decay(nowMs);
        return (sum + priorCount * priorValue) / (count + priorCount);
    }

    private void decay(double nowMs) {
        double decayFactor = Math.pow(0.5, (nowMs - decayedAtMs) / halfLifeMs);
        sum *= decayFactor;
        count *= decayFactor;
        decayedAtMs = nowMs;
    }
}
