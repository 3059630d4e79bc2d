package lineward.scheduling;

/** One class of requests: its settings, what was measured, and what the mechanisms keep for it. */
final class ClassState {
    final RequestClass settings;
    final ServiceTimeModel model;
    final ClassDemand demand = new ClassDemand();

    /** Attempts are cancelled past this, in units of the estimate; infinite: never. */
    double tauRatio = Double.POSITIVE_INFINITY;
    /** Nothing more of this class is dispatched in this turn. */
    boolean dispatchPaused;
    /** Memory granted over the estimate. */
    double grantFactor = ResourceLimits.INITIAL_GRANT_FACTOR;

    double lastStartedMs = Double.NEGATIVE_INFINITY;

    ClassState(RequestClass settings, FleetServiceTimes fleet) {
        this.settings = settings;
        this.model = new ServiceTimeModel(settings, fleet);
    }

    /** Returns the weight of one request's work in the slow-start budget: at least the usual. */
    double slowStartWork(TrackedRequest request, double nowMs) {
        return Math.max(request.expectedWorkMs(), model.usualWorkMs(nowMs));
    }
}
