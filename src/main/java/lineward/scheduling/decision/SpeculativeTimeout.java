package lineward.scheduling.decision;

import java.util.OptionalDouble;
import lineward.scheduling.estimation.ServiceTimeModel;
import lineward.scheduling.estimation.SurvivalCurve;
import lineward.scheduling.state.RequestClassState;

/**
 * Computes the speculative timeout: the run time after which a relaunch on another engine is expected to cost
 * less load than waiting.
 */
public final class SpeculativeTimeout {
    /**
     * Minimum fraction of the load that a timeout must save; a smaller saving is within the error of the
     * estimate.
     */
    private static final double MIN_LOAD_SAVED = 0.02;

    private SpeculativeTimeout() {}

    /**
     * Returns the speculative timeout as a multiple of the estimated run time: the bin edge of the survival
     * curve at which cancellation leads to the least expected load; empty if no edge saves enough load, or if
     * the class has too few runs for a typical run time. If it has a typical run time but too few runs for a
     * reliable curve, the timeout is limited to the bounds for a straggler, and is the upper bound if no edge
     * saves enough load.
     */
    public static OptionalDouble timeoutRatio(RequestClassState type, double nowMs) {
        ServiceTimeModel model = type.serviceTimeModel();
        if (!model.hasTypicalRatio()) {
            return OptionalDouble.empty();
        }
        OptionalDouble leastLoadRatio = leastLoadTimeoutRatio(model, nowMs);
        if (model.hasCurve()) {
            return leastLoadRatio;
        }
        return OptionalDouble.of(clampToStragglerBounds(leastLoadRatio, model.typicalRatio()));
    }

    /** Returns the bin edge with the least expected load; empty if no edge saves enough load. */
    private static OptionalDouble leastLoadTimeoutRatio(ServiceTimeModel model, double nowMs) {
        SurvivalCurve curve = model.firstRunCurve();
        double relaunchRatio = model.relaunchRatio(nowMs);
        double leastLoad = model.meanFirstRunRatio() * (1 - MIN_LOAD_SAVED);
        OptionalDouble bestRatio = OptionalDouble.empty();
        for (int bin = 0; bin < curve.binCount(); bin++) {
            double load = curve.areaUpTo(bin) + relaunchRatio * curve.survivalPast(bin);
            if (load < leastLoad && curve.survivalPast(bin) > 0) {
                leastLoad = load;
                bestRatio = OptionalDouble.of(curve.upperEdge(bin));
            }
        }
        return bestRatio;
    }

    private static double clampToStragglerBounds(OptionalDouble ratio, double typicalRatio) {
        double upperLog = ServiceTimeModel.STRAGGLER_LOG_RATIO;
        double lowerLog = upperLog / 2;
        double log = ratio.isPresent() ? Math.log(ratio.getAsDouble() / typicalRatio) : upperLog;
        return typicalRatio * Math.exp(Math.max(lowerLog, Math.min(upperLog, log)));
    }
}
