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
 * The export of spans and metrics over OTLP, set up by the standard variables. It runs on threads of its own
 * behind a bounded queue: what the collector does not take is dropped, and no request waits for it.
 */
public final class Telemetry implements AutoCloseable {
    private static final String ENDPOINT = "OTEL_EXPORTER_OTLP_ENDPOINT";
    private static final String TRACES_ENDPOINT = "OTEL_EXPORTER_OTLP_TRACES_ENDPOINT";
    private static final String METRICS_ENDPOINT = "OTEL_EXPORTER_OTLP_METRICS_ENDPOINT";
    /** What is handed over at the end may take so long; the answers have all gone out by then. */
    private static final int LAST_EXPORT_MS = 1500;

    private final OpenTelemetrySdk sdk;

    private Telemetry(OpenTelemetrySdk sdk) {
        this.sdk = sdk;
    }

    /** Returns whether the environment names a collector. */
    public static boolean isOn(Map<String, String> environment) {
        return List.of(ENDPOINT, TRACES_ENDPOINT, METRICS_ENDPOINT).stream()
                .anyMatch(name -> !environment.getOrDefault(name, "").isBlank());
    }

    /**
     * @param name of this front end, as the service's instance
     * @throws IllegalArgumentException with a plain reason if the variables can't be used
     */
    public static Telemetry start(Map<String, String> environment, String name) {
        boolean all = !environment.getOrDefault(ENDPOINT, "").isBlank();
        boolean traces = all || !environment.getOrDefault(TRACES_ENDPOINT, "").isBlank();
        boolean metrics = all || !environment.getOrDefault(METRICS_ENDPOINT, "").isBlank();
        try {
            // Only what the environment leaves open: the variables go before these.
            return new Telemetry(AutoConfiguredOpenTelemetrySdk.builder()
                    .disableShutdownHook()
                    .addPropertiesSupplier(() -> Map.of(
                            "otel.service.name",
                            "lineward",
                            "otel.resource.attributes",
                            "service.instance.id=" + name,
                            "otel.exporter.otlp.protocol",
                            "http/protobuf",
                            "otel.traces.exporter",
                            traces ? "otlp" : "none",
                            "otel.metrics.exporter",
                            metrics ? "otlp" : "none",
                            "otel.logs.exporter",
                            "none"))
                    .build()
                    .getOpenTelemetrySdk());
        } catch (ConfigurationException e) {
            throw new IllegalArgumentException("OTLP: " + e.getMessage(), e);
        }
    }

    /**
     * @param classOf names a request's class
     * @param idOf names a request
     * @param next is told all the same
     */
    public <X> Tracer<X> tracer(Function<X, String> classOf, Function<X, String> idOf, Tracer<X> next) {
        return new OtlpTracer<>(sdk, classOf, idOf, next);
    }

    /** Hands over what is left, for a moment at most. */
    @Override
    public void close() {
        sdk.shutdown().join(LAST_EXPORT_MS, TimeUnit.MILLISECONDS);
    }
}
