package lineward.scheduling.estimation;

/** A mean of values whose weights halve with time. */
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

    /** Returns the number of values, each with the weight that it still has. */
    public double count(double nowMs) {
        decay(nowMs);
        return count;
    }

    /** Returns the mean, with so many prior values of a given size beside those added. */
    public double mean(double nowMs, double priorCount, double priorValue) {
        decay(nowMs);
        return (sum + priorCount * priorValue) / (count + priorCount);
    }

    private void decay(double nowMs) {
        double kept = Math.pow(0.5, (nowMs - decayedAtMs) / halfLifeMs);
        sum *= kept;
        count *= kept;
        decayedAtMs = nowMs;
    }
}
