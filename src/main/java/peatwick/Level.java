package peatwick;

/** The running middle of values whose outliers are cut off; it moves fast at first, then slowly. */
final class Level {
    private final double cutOff;
    private final double slowest;
    private double value;
    private int count;

    Level(double cutOff, double slowest) {
        this.cutOff = cutOff;
        this.slowest = slowest;
    }

    /** @return how far the value lay from the middle, cut off */
    double add(double x) {
        if (count == 0) {
            value = x;
        }
        count++;
        double off = Math.max(-cutOff, Math.min(cutOff, x - value));
        value += Math.max(slowest, 1.0 / (count + 1)) * off;
        return off;
    }

    double value() {
        return value;
    }

    int count() {
        return count;
    }
}
