package lineward.scheduling.estimation;

/** The demand of one class: its arriving work, its fractions of all work and value, and usable cores. */
public final class ClassDemand {
    private double workMs;
    private double requestCount;
    private double decayedAtMs;
    private double workRatio;
    private double valueRatio;
    private double reachableCores;

    /** Counts an admitted request and its expected work. */
    public void add(double requestWorkMs) {
        workMs += requestWorkMs;
        requestCount++;
    }

    /** Decays the counts of earlier requests with the half-life of {@link ServiceTimeModel}. */
    public void decay(double nowMs) {
        double decayFactor = ServiceTimeModel.decayFactor(nowMs - decayedAtMs);
        decayedAtMs = nowMs;
        workMs *= decayFactor;
        requestCount *= decayFactor;
    }

    /** Returns the decayed sum of expected work. */
    public double workMs() {
        return workMs;
    }

    /** Returns the decayed number of requests. */
    public double requestCount() {
        return requestCount;
    }

    /** Returns the class's fraction of the work of all classes, in [0, 1]. */
    public double workRatio() {
        return workRatio;
    }

    /**
     * Returns the class's fraction of the value of all classes, in [0, 1]. The value of a class is its number
     * of requests, weighted by their priority.
     */
    public double valueRatio() {
        return valueRatio;
    }

    /** Returns the cores of the ready engines that the class may run on. */
    public double reachableCores() {
        return reachableCores;
    }

    /** Sets the class's fractions of the work and of the value of all classes. */
    public void setRatios(double ofWork, double ofValue) {
        workRatio = ofWork;
        valueRatio = ofValue;
    }

    /** Sets the cores of the ready engines that the class may run on. */
    public void setReachableCores(double cores) {
        reachableCores = cores;
    }
}
