package lineward.telemetry;

import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.autoconfigure.AutoConfiguredOpenTelemetrySdk;
import io.opentelemetry.sdk.autoconfigure.spi.ConfigurationException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import lineward.core.Tracer;

/**
 * Exports spans and metrics over OTLP, configured by the standard environment variables. The SDK exports on
 * its own threads from a bounded queue and drops what the collector does not accept, so requests never wait
 * for it.
 */
public final class Telemetry implements AutoCloseable {
    private static final String ENDPOINT = "OTEL_EXPORTER_OTLP_ENDPOINT";
    private static final String TRACES_ENDPOINT = "OTEL_EXPORTER_OTLP_TRACES_ENDPOINT";
    private static final String METRICS_ENDPOINT = "OTEL_EXPORTER_OTLP_METRICS_ENDPOINT";
    /** Maximum duration of the final export at shutdown, which follows the last response. */
    private static final int LAST_EXPORT_TIMEOUT_MS = 1500;

    private final OpenTelemetrySdk sdk;

    private Telemetry(OpenTelemetrySdk sdk) {
        this.sdk = sdk;
    }

    /** Returns whether the environment names a collector. */
    public static boolean isEnabled(Map<String, String> environment) {
        List<String> endpoints = List.of(ENDPOINT, TRACES_ENDPOINT, METRICS_ENDPOINT);
        return endpoints.stream().anyMatch(variable -> isSet(environment, variable));
    }

    /**
     * Starts the export that the environment configures.
     *
     * @param name name of this front end, exported as the id of the service instance
     * @throws IllegalArgumentException if an environment variable has an invalid value
     */
    public static Telemetry start(Map<String, String> environment, String name) {
        boolean all = isSet(environment, ENDPOINT);
        boolean traces = all || isSet(environment, TRACES_ENDPOINT);
        boolean metrics = all || isSet(environment, METRICS_ENDPOINT);
        try {
            return new Telemetry(AutoConfiguredOpenTelemetrySdk.builder()
                    .disableShutdownHook()
                    .addPropertiesSupplier(() -> defaults(name, traces, metrics))
                    .build()
                    .getOpenTelemetrySdk());
        } catch (ConfigurationException e) {
            throw new IllegalArgumentException("OTLP: " + e.getMessage(), e);
        }
    }

    private static boolean isSet(Map<String, String> environment, String variable) {
        return !environment.getOrDefault(variable, "").isBlank();
    }

    /** Returns defaults for the properties of the SDK; environment variables take precedence over them. */
    private static Map<String, String> defaults(String name, boolean traces, boolean metrics) {
        return Map.of(
                "otel.service.name",
                "lineward",
                "otel.resource.attributes",
                "service.instance.id=" + name,
                "otel.exporter.otlp.protocol",
                "http/protobuf",
                "otel.traces.exporter",
                exporter(traces),
                "otel.metrics.exporter",
                exporter(metrics),
                "otel.logs.exporter",
                exporter(false));
    }

    private static String exporter(boolean enabled) {
        return enabled ? "otlp" : "none";
    }

    /**
     * Returns a tracer that exports each event and forwards it.
     *
     * @param classOf returns the class of a request
     * @param idOf returns the id of a request
     * @param delegate receives each event
     */
    public <X> Tracer<X> tracer(Function<X, String> classOf, Function<X, String> idOf, Tracer<X> delegate) {
        return new OtlpTracer<>(sdk, classOf, idOf, delegate);
    }

    /** Exports the remaining spans and metrics; blocks for at most {@value #LAST_EXPORT_TIMEOUT_MS} ms. */
    @Override
    public void close() {
        sdk.shutdown().join(LAST_EXPORT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
