package lineward.app;

import java.util.Map;
import java.util.function.Function;
import lineward.core.Tracer;
import lineward.operations.Metrics;
import lineward.operations.MetricsTracer;
import lineward.telemetry.Telemetry;

/** Wires the tracers: log, metrics and, if the environment names a collector, the export over OTLP. */
final class TelemetryWiring implements AutoCloseable {
    private static final String INSTANCE_VARIABLE = "RELAY_NAME";
    private static final String DEFAULT_INSTANCE = "lineward";

    private final Metrics metrics;
    /** Null if the environment names no collector. */
    private final Telemetry export;

    /** Starts the export; throws a {@link ConfigException} if an environment variable can't be used. */
    TelemetryWiring(Metrics metrics, Map<String, String> environment) {
        this.metrics = metrics;
        this.export = Telemetry.isEnabled(environment) ? start(environment) : null;
    }

    private static Telemetry start(Map<String, String> environment) {
        String instance = environment.getOrDefault(INSTANCE_VARIABLE, DEFAULT_INSTANCE);
        try {
            return Telemetry.start(environment, instance);
        } catch (IllegalArgumentException e) {
            throw ConfigException.unusable(e.getMessage(), e);
        }
    }

    /**
     * Returns the tracer of one protocol server.
     *
     * @param classOf returns the class of a request
     */
    <X> Tracer<X> tracer(Function<X, String> classOf) {
        Tracer<X> metricsTracer = new MetricsTracer<>(metrics, classOf, new LogTracer<>());
        return export == null ? metricsTracer : export.tracer(classOf, Object::toString, metricsTracer);
    }

    @Override
    public void close() {
        if (export != null) {
            export.close();
        }
    }
}
