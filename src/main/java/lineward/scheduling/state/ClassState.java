package lineward.scheduling.state;

import java.util.OptionalDouble;
import lineward.scheduling.RequestClass;
import lineward.scheduling.estimation.ClassDemand;
import lineward.scheduling.estimation.FleetServiceTimes;
import lineward.scheduling.estimation.ServiceTimeModel;

/** One class of requests: its settings, its measurements, and the values that decisions keep for it. */
public final class ClassState {
    /** Memory granted over the estimate before the first outcome. */
    public static final double INITIAL_GRANT_FACTOR = 1.25;

    private final RequestClass settings;
    private final ServiceTimeModel model;
    private final ClassDemand demand = new ClassDemand();

    private OptionalDouble tauRatio = OptionalDouble.empty();
    private OptionalDouble lastStartedMs = OptionalDouble.empty();
    private boolean dispatchPaused;
    private double grantFactor = INITIAL_GRANT_FACTOR;

    ClassState(RequestClass settings, FleetServiceTimes fleet) {
        this.settings = settings;
        this.model = new ServiceTimeModel(settings, fleet);
    }

    /** Returns its settings. */
    public RequestClass settings() {
        return settings;
    }

    /** Returns the measurements of its run times. */
    public ServiceTimeModel model() {
        return model;
    }

    /** Returns the measurements of its demand. */
    public ClassDemand demand() {
        return demand;
    }

    /** Returns the run time past which attempts are cancelled, in units of the estimate; empty: never. */
    public OptionalDouble tauRatio() {
        return tauRatio;
    }

    /** Sets the run time past which attempts are cancelled. */
    public void setTauRatio(OptionalDouble ratio) {
        tauRatio = ratio;
    }

    /** Returns whether no more requests of the class are dispatched in this decision. */
    public boolean isDispatchPaused() {
        return dispatchPaused;
    }

    /** Sets whether no more requests of the class are dispatched in this decision. */
    public void setDispatchPaused(boolean paused) {
        dispatchPaused = paused;
    }

    /** Returns the factor on estimates of memory by which grants exceed them. */
    public double grantFactor() {
        return grantFactor;
    }

    /** Sets the factor on estimates of memory. */
    public void setGrantFactor(double factor) {
        grantFactor = factor;
    }

    /** Returns when an attempt of the class was last started; empty if none was. */
    public OptionalDouble lastStartedMs() {
        return lastStartedMs;
    }

    /** Records that an attempt of the class is started. */
    public void recordStart(double nowMs) {
        lastStartedMs = OptionalDouble.of(nowMs);
    }

    /** Returns the weight of a request in the slow-start budget: at least the class's usual work. */
    public double slowStartWorkMs(TrackedRequest request, double nowMs) {
        return Math.max(request.expectedWorkMs(), model.usualWorkMs(nowMs));
    }
}
