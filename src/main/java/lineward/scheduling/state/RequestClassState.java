package lineward.scheduling.state;

import java.util.OptionalDouble;
import lineward.scheduling.RequestClass;
import lineward.scheduling.estimation.ClassDemand;
import lineward.scheduling.estimation.FleetServiceTimes;
import lineward.scheduling.estimation.ServiceTimeModel;

/** One class of requests: its settings, its measurements, and the values that policies derive for it. */
public final class RequestClassState {
    /** Ratio of memory grants to the corrected memory estimates before the first outcome. */
    public static final double INITIAL_FACTOR = 1.25;

    private final RequestClass settings;
    private final ServiceTimeModel serviceTimeModel;
    private final ClassDemand demand = new ClassDemand();

    private OptionalDouble speculativeTimeoutRatio = OptionalDouble.empty();
    private OptionalDouble lastAttemptStartedMs = OptionalDouble.empty();
    private boolean dispatchPaused;
    private double grantFactor = INITIAL_FACTOR;

    RequestClassState(RequestClass settings, FleetServiceTimes fleet) {
        this.settings = settings;
        this.serviceTimeModel = new ServiceTimeModel(settings, fleet);
    }

    /** Returns the settings of the class. */
    public RequestClass settings() {
        return settings;
    }

    /** Returns the model of the run times of the class. */
    public ServiceTimeModel serviceTimeModel() {
        return serviceTimeModel;
    }

    /** Returns the measured demand of the class. */
    public ClassDemand demand() {
        return demand;
    }

    /**
     * Returns the speculative timeout of the class as a multiple of the reference run time: the run time
     * after which an attempt is cancelled and relaunched on another engine; empty if there is none.
     */
    public OptionalDouble speculativeTimeoutRatio() {
        return speculativeTimeoutRatio;
    }

    /** Sets the speculative timeout as a multiple of the reference run time; empty for none. */
    public void setSpeculativeTimeoutRatio(OptionalDouble ratio) {
        speculativeTimeoutRatio = ratio;
    }

    /** Returns whether the class gets no more attempts in the current decision. */
    public boolean isDispatchPaused() {
        return dispatchPaused;
    }

    /** Sets whether the class gets no more attempts in the current decision. */
    public void setDispatchPaused(boolean paused) {
        dispatchPaused = paused;
    }

    /** Returns the ratio of memory grants to the corrected memory estimates. */
    public double grantFactor() {
        return grantFactor;
    }

    /** Sets the ratio of memory grants to the corrected memory estimates. */
    public void setGrantFactor(double factor) {
        grantFactor = factor;
    }

    /** Returns when an attempt of the class was last started; empty before the first one. */
    public OptionalDouble lastAttemptStartedMs() {
        return lastAttemptStartedMs;
    }

    /** Records the start of an attempt of the class. */
    public void recordAttemptStart(double nowMs) {
        lastAttemptStartedMs = OptionalDouble.of(nowMs);
    }

    /** Returns the work by which a request counts in a slow-start budget: at least the class's mean work. */
    public double slowStartWorkMs(ScheduledRequest request, double nowMs) {
        return Math.max(request.expectedWorkMs(), serviceTimeModel.meanWorkWithPriorMs(nowMs));
    }
}
