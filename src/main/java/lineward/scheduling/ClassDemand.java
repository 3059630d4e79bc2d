package lineward.scheduling;

/** How much of one class is asked for, and where it may run. */
final class ClassDemand {
    private double workMs;
    private double requests;
    private double decayedAtMs;
    /** Its ratio of all classes' work. */
    private double workRatio;
    /** Its ratio of all classes' value. */
    private double valueRatio;
    /** Cores of the ready engines that it may run on. */
    private double reachableCores;

    void add(double requestWorkMs) {
        workMs += requestWorkMs;
        requests++;
    }

    /** Lets what was added fade. */
    void decay(double nowMs) {
        double kept = ServiceTimeModel.ratioKept(nowMs - decayedAtMs);
        decayedAtMs = nowMs;
        workMs *= kept;
        requests *= kept;
    }

    double workMs() {
        return workMs;
    }

    double requests() {
        return requests;
    }

    double workRatio() {
        return workRatio;
    }

    double valueRatio() {
        return valueRatio;
    }

    double reachableCores() {
        return reachableCores;
    }

    void setRatios(double ofWork, double ofValue) {
        workRatio = ofWork;
        valueRatio = ofValue;
    }

    void setReachableCores(double cores) {
        reachableCores = cores;
    }
}
