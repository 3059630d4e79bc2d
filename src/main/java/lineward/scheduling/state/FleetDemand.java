package lineward.scheduling.state;

import java.util.Collection;
import java.util.List;

/** The demand of all classes relative to the cores of the ready engines. */
public final class FleetDemand {
    private static final double MIN_WORK_MS = 1;
    private static final double MIN_VALUE = 1e-9;

    private double readyCores = 1;
    private double threadsPerRequest = 1;

    /** Returns the total number of cores of the ready engines. */
    public double readyCores() {
        return readyCores;
    }

    /** Returns the mean number of threads of a request in flight; load reports count requests only. */
    public double threadsPerRequest() {
        return threadsPerRequest;
    }

    void countReadyCores(Collection<Engine> engines) {
        readyCores = engines.stream()
                .filter(Engine::isReady)
                .mapToDouble(Engine::cores)
                .sum();
    }

    void recompute(List<RequestClassState> classes, Collection<Engine> engines) {
        double allWorkMs = classes.stream()
                .mapToDouble(requestClass -> requestClass.demand().workMs())
                .sum();
        double allValue = classes.stream().mapToDouble(FleetDemand::value).sum();
        for (RequestClassState requestClass : classes) {
            double workRatio = requestClass.demand().workMs() / Math.max(MIN_WORK_MS, allWorkMs);
            requestClass.demand().setRatios(workRatio, value(requestClass) / Math.max(MIN_VALUE, allValue));
            requestClass.demand().setReachableCores(reachableCores(requestClass, engines));
        }
        double workPerThreadMs =
                classes.stream().mapToDouble(FleetDemand::workPerThreadMs).sum();
        threadsPerRequest = allWorkMs <= 0 ? 1 : allWorkMs / workPerThreadMs;
    }

    private static double value(RequestClassState requestClass) {
        return requestClass.demand().requestCount()
                * requestClass.settings().objective().priorityWeight();
    }

    private static double workPerThreadMs(RequestClassState requestClass) {
        return requestClass.demand().workMs()
                / requestClass.settings().executionProfile().threads();
    }

    private static double reachableCores(RequestClassState requestClass, Collection<Engine> engines) {
        return engines.stream()
                .filter(engine ->
                        engine.isReady() && requestClass.settings().placement().allows(engine.endpoint()))
                .mapToDouble(Engine::cores)
                .sum();
    }
}
