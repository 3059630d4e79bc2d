package peatwick;

import java.util.List;

/**
 * A bounded, decaying histogram of run times, some of them censored, with its Kaplan-Meier curve. Plain
 * statistics: how fine and how long it is, and what follows from it, is the caller's to say.
 */
final class Survival {
    private final double lowest;
    private final double perDoubling;
    private final double[] done;
    private final double[] censored;
    private final double[] areas;
    private final double[] survival;

    /** Bins from 2^lowest upwards, so many for each doubling. */
    Survival(int bins, double lowest, double perDoubling) {
        this.lowest = lowest;
        this.perDoubling = perDoubling;
        done = new double[bins];
        censored = new double[bins];
        areas = new double[bins];
        survival = new double[bins];
    }

    void add(double time, boolean finished) {
        (finished ? done : censored)[bin(time)] += 1;
    }

    void decay(double keep) {
        for (int i = 0; i < done.length; i++) {
            done[i] *= keep;
            censored[i] *= keep;
        }
    }

    /**
     * Works out the curve. A censored run tells only that it was longer, so it leaves the set at risk where
     * it was
     * cut; dropping it would hide the tail, and completing it would invent an end. Runs still out count
     * likewise.
     *
     * @return the area under the curve, as far as anything was seen
     */
    double reckon(List<Double> stillOut) {
        double[] left = censored.clone();
        for (double time : stillOut) {
            left[bin(time)] += 1;
        }
        double risk = 0;
        for (int i = 0; i < done.length; i++) {
            risk += done[i] + left[i];
        }
        double survive = 1;
        double area = 0;
        for (int i = 0; i < done.length && risk > 1e-9; i++) {
            double after = survive * Math.max(0, 1 - done[i] / risk);
            area += (edge(i) - (i == 0 ? 0 : edge(i - 1))) * (survive + after) / 2;
            survive = after;
            areas[i] = area;
            survival[i] = survive;
            risk -= done[i] + left[i];
            if (risk <= 1e-9) {
                java.util.Arrays.fill(areas, i + 1, areas.length, area);
                java.util.Arrays.fill(survival, i + 1, survival.length, 0);
            }
        }
        return area;
    }

    int bins() {
        return done.length;
    }

    /** Upper edge of a bin. */
    double edge(int bin) {
        return Math.pow(2, lowest + (bin + 1) / perDoubling);
    }

    double areaUpTo(int bin) {
        return areas[bin];
    }

    double survivalPast(int bin) {
        return survival[bin];
    }

    private int bin(double time) {
        double place = (Math.log(Math.max(1e-9, time)) / Math.log(2) - lowest) * perDoubling;
        return (int) Math.max(0, Math.min(done.length - 1, place));
    }
}
