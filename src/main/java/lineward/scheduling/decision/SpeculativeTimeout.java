package lineward.scheduling.decision;

import java.util.OptionalDouble;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.estimation.SurvivalCurve;
import lineward.scheduling.state.ClassState;

/** Computes tau, the run time past which a relaunch elsewhere costs less load than waiting on. */
public final class SpeculativeTimeout {
    /** Fraction of the load that cancelling must save; less is within the error of the estimate. */
    private static final double MIN_LOAD_SAVED = 0.02;

    private SpeculativeTimeout() {}

    /**
     * Returns tau in units of the estimate: the edge of the curve with the least load; empty if nothing is to
     * be cancelled. A class with too few runs for a curve gets the edge of a straggler, within bounds.
     */
    public static OptionalDouble tauRatio(ClassState type, double nowMs) {
        ServiceTimeModel model = type.model();
        if (!model.hasTypicalRatio()) {
            return OptionalDouble.empty();
        }
        OptionalDouble leastLoad = leastLoadRatio(model, nowMs);
        if (model.hasCurve()) {
            return leastLoad;
        }
        return OptionalDouble.of(withinStragglerBounds(leastLoad, model.typicalRatio()));
    }

    private static OptionalDouble leastLoadRatio(ServiceTimeModel model, double nowMs) {
        SurvivalCurve curve = model.firstRuns();
        double relaunchRatio = model.relaunchRatio(nowMs);
        double leastLoad = model.meanRatio() * (1 - MIN_LOAD_SAVED);
        OptionalDouble best = OptionalDouble.empty();
        for (int bin = 0; bin < curve.bins(); bin++) {
            double load = curve.areaUpTo(bin) + relaunchRatio * curve.survivalPast(bin);
            if (load < leastLoad && curve.survivalPast(bin) > 0) {
                leastLoad = load;
                best = OptionalDouble.of(curve.upperEdge(bin));
            }
        }
        return best;
    }

    private static double withinStragglerBounds(OptionalDouble ratio, double typicalRatio) {
        double upperLog = ServiceTimeModel.STRAGGLER_LOG_RATIO;
        double lowerLog = upperLog / 2;
        double log = ratio.isPresent() ? Math.log(ratio.getAsDouble() / typicalRatio) : upperLog;
        return typicalRatio * Math.exp(Math.max(lowerLog, Math.min(upperLog, log)));
    }
}
