package peatwick;

/** A sum of values and their number, both of which fade with time. */
final class Fading {
    private final double halfLife;
    private double sum;
    private double count;
    private double at;

    Fading(double halfLife) {
        this.halfLife = halfLife;
    }

    void add(double now, double value) {
        fade(now);
        sum += value;
        count++;
    }

    double sum(double now) {
        fade(now);
        return sum;
    }

    double count(double now) {
        fade(now);
        return count;
    }

    /** The mean, with so many values of a given size beside those seen. */
    double mean(double now, double others, double value) {
        fade(now);
        return (sum + others * value) / (count + others);
    }

    private void fade(double now) {
        double keep = Math.pow(0.5, (now - at) / halfLife);
        sum *= keep;
        count *= keep;
        at = now;
    }
}
