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

    void recompute(List<ClassState> classes, Collection<Engine> engines) {
        double allWorkMs =
                classes.stream().mapToDouble(type -> type.demand().workMs()).sum();
        double allValue = classes.stream().mapToDouble(FleetDemand::value).sum();
        for (ClassState type : classes) {
            double workRatio = type.demand().workMs() / Math.max(MIN_WORK_MS, allWorkMs);
            type.demand().setRatios(workRatio, value(type) / Math.max(MIN_VALUE, allValue));
            type.demand().setReachableCores(reachableCores(type, engines));
        }
        double workPerThreadMs =
                classes.stream().mapToDouble(FleetDemand::workPerThreadMs).sum();
        threadsPerRequest = allWorkMs <= 0 ? 1 : allWorkMs / workPerThreadMs;
    }

    private static double value(ClassState type) {
        return type.demand().requests() * type.settings().objective().priorityWeight();
    }

    private static double workPerThreadMs(ClassState type) {
        return type.demand().workMs() / type.settings().executionProfile().threads();
    }

    private static double reachableCores(ClassState type, Collection<Engine> engines) {
        return engines.stream()
                .filter(engine ->
                        engine.isReady() && type.settings().placement().allows(engine.endpoint()))
                .mapToDouble(Engine::cores)
                .sum();
    }
}
