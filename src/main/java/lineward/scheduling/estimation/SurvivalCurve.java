package lineward.scheduling.estimation;

import java.util.Arrays;
import java.util.List;

/**
 * A decaying histogram of run times, some of them censored, with its Kaplan-Meier estimate. The number of
 * bins is fixed and their widths grow exponentially.
 */
public final class SurvivalCurve {
    /** Counts up to this value are rounding errors; smaller run times count as this value. */
    private static final double EPSILON = 1e-9;

    private final double lowestLog2;
    private final double binsPerDoubling;
    private final double[] completed;
    private final double[] censored;
    private final double[] areas;
    private final double[] survival;

    /** Creates an empty curve. The first bin also holds all run times below 2^lowestLog2. */
    public SurvivalCurve(int binCount, double lowestLog2, double binsPerDoubling) {
        this.lowestLog2 = lowestLog2;
        this.binsPerDoubling = binsPerDoubling;
        completed = new double[binCount];
        censored = new double[binCount];
        areas = new double[binCount];
        survival = new double[binCount];
    }

    /** Adds a run time; a run that did not complete is censored. */
    public void add(double runTime, boolean runCompleted) {
        (runCompleted ? completed : censored)[binOf(runTime)] += 1;
    }

    /** Multiplies all counts by the decay factor. */
    public void decay(double decayFactor) {
        for (int i = 0; i < completed.length; i++) {
            completed[i] *= decayFactor;
            censored[i] *= decayFactor;
        }
    }

    /**
     * Recomputes the curve. A censored run is in the risk set until its run time; if censored runs were
     * dropped, the curve would lose its tail. Runs in flight count as censored.
     *
     * @return the area under the curve up to the longest run, which is the restricted mean run time
     */
    public double recompute(List<Double> inFlight) {
        double[] censoredOrInFlight = censored.clone();
        for (double runTime : inFlight) {
            censoredOrInFlight[binOf(runTime)] += 1;
        }
        double atRisk = 0;
        for (int i = 0; i < completed.length; i++) {
            atRisk += completed[i] + censoredOrInFlight[i];
        }
        double surviving = 1;
        double area = 0;
        for (int i = 0; i < completed.length && atRisk > EPSILON; i++) {
            double after = surviving * Math.max(0, 1 - completed[i] / atRisk);
            area += binWidth(i) * (surviving + after) / 2;
            surviving = after;
            areas[i] = area;
            survival[i] = surviving;
            atRisk -= completed[i] + censoredOrInFlight[i];
            if (atRisk <= EPSILON) {
                Arrays.fill(areas, i + 1, areas.length, area);
                Arrays.fill(survival, i + 1, survival.length, 0);
            }
        }
        return area;
    }

    /** Returns the number of bins. */
    public int binCount() {
        return completed.length;
    }

    /** Returns the upper edge of a bin. */
    public double upperEdge(int bin) {
        return Math.pow(2, lowestLog2 + (bin + 1) / binsPerDoubling);
    }

    /** Returns the area under the curve up to the bin's upper edge. */
    public double areaUpTo(int bin) {
        return areas[bin];
    }

    /** Returns the fraction of the runs that take longer than the bin's upper edge. */
    public double survivalPast(int bin) {
        return survival[bin];
    }

    private double binWidth(int bin) {
        return upperEdge(bin) - (bin == 0 ? 0 : upperEdge(bin - 1));
    }

    private int binOf(double runTime) {
        double position = (Math.log(Math.max(EPSILON, runTime)) / Math.log(2) - lowestLog2) * binsPerDoubling;
        return (int) Math.max(0, Math.min(completed.length - 1, position));
    }
}
