package lineward.scheduling.decision;

import java.util.OptionalDouble;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.estimation.SurvivalCurve;
import lineward.scheduling.state.ClassState;

/**
 * Computes the speculative timeout (tau): the run time after which a relaunch on another engine is expected
 * to cost less load than waiting.
 */
public final class SpeculativeTimeout {
    /**
     * Fraction of the load that cancellation must save; a smaller saving is within the error of the estimate.
     */
    private static final double MIN_LOAD_SAVED = 0.02;

    private SpeculativeTimeout() {}

    /**
     * Returns tau in units of the estimated run time: the bin edge of the survival curve with the least
     * expected load; empty if nothing is to be cancelled. For a class with too few runs for a curve, that
     * edge, or the run time of a straggler if no edge saves load, is clamped to the bounds of a straggler.
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
