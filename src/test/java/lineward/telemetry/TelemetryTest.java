package lineward.telemetry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.opentelemetry.proto.collector.metrics.v1.ExportMetricsServiceRequest;
import io.opentelemetry.proto.collector.trace.v1.ExportTraceServiceRequest;
import io.opentelemetry.proto.trace.v1.Span;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.function.Predicate;
import lineward.testing.Program;
import lineward.testing.TestingPlatform;
import org.testng.annotations.Test;

/** Exports spans and metrics over OTLP to a fake collector. */
public class TelemetryTest {
    private final List<Span> spans = new CopyOnWriteArrayList<>();
    private final List<String> metrics = new CopyOnWriteArrayList<>();

    private HttpServer startCollector(CountDownLatch responsesAllowed) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(Executors.newCachedThreadPool());
        server.createContext("/v1/traces", exchange -> {
            ExportTraceServiceRequest.parseFrom(exchange.getRequestBody())
                    .getResourceSpansList()
                    .forEach(r -> r.getScopeSpansList().forEach(s -> spans.addAll(s.getSpansList())));
            awaitQuietly(responsesAllowed);
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        server.createContext("/v1/metrics", exchange -> {
            metrics.add(ExportMetricsServiceRequest.parseFrom(exchange.getRequestBody())
                    .toString());
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        server.start();
        return server;
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static Map<String, String> environment(HttpServer collector) {
        return Map.of(
                "OTEL_EXPORTER_OTLP_ENDPOINT",
                "http://127.0.0.1:" + collector.getAddress().getPort(),
                "OTEL_BSP_SCHEDULE_DELAY",
                "50",
                "OTEL_METRIC_EXPORT_INTERVAL",
                "200",
                "OTEL_BSP_MAX_QUEUE_SIZE",
                "8",
                "OTEL_BSP_MAX_EXPORT_BATCH_SIZE",
                "8");
    }

    private static String outcome(Span span) {
        return span.getAttributesList().stream()
                .filter(a -> a.getKey().equals("lineward.outcome"))
                .map(a -> a.getValue().getStringValue())
                .findFirst()
                .orElse("");
    }

    @Test
    public void requestsAndAttemptsAreExportedAsSpansAndMetrics() throws IOException {
        HttpServer collector = startCollector(new CountDownLatch(0));
        // Discards what the program of another test has exported late.
        spans.clear();
        metrics.clear();
        try (TestingPlatform platform = new TestingPlatform(environment(collector))) {
            platform.sendServedAndOneRejected(1);
            Program.await("three spans", () -> spans.size() >= 3);
            Span attempt = spans.stream()
                    .filter(s -> s.getName().equals("attempt"))
                    .findFirst()
                    .orElseThrow();
            Span request = spans.stream()
                    .filter(s -> s.getSpanId().equals(attempt.getParentSpanId()))
                    .findFirst()
                    .orElseThrow();
            assertEquals(outcome(attempt), "ok");
            assertEquals(outcome(request), "served");
            Program.await(
                    "the rejection",
                    () -> spans.stream().anyMatch(s -> outcome(s).equals("refused")));
            List<String> expected = List.of("lineward.requests", "look", "refused");
            Predicate<String> isExpected = metric -> expected.stream().allMatch(metric::contains);
            Program.await("counts by class and outcome", () -> metrics.stream().anyMatch(isExpected));
        } finally {
            collector.stop(0);
        }
    }

    /** Requests must not wait for a collector that accepts connections but never responds. */
    @Test
    public void anUnresponsiveCollectorDelaysNoRequestAndSpansAreDropped() throws IOException {
        CountDownLatch responsesAllowed = new CountDownLatch(1);
        HttpServer collector = startCollector(responsesAllowed);
        spans.clear();
        try (TestingPlatform platform = new TestingPlatform(environment(collector))) {
            long startNanos = System.nanoTime();
            platform.sendServedAndOneRejected(200);
            assertTrue((System.nanoTime() - startNanos) / 1e9 < 10, "200 requests took 10 s or longer");
            Program.await("the first batch", () -> !spans.isEmpty());
            assertTrue(spans.size() <= 16, spans.size() + " spans, with a queue of 8 and a batch of 8");
        } finally {
            responsesAllowed.countDown();
            collector.stop(0);
        }
    }

    @Test
    public void exportIsOffWithoutAnEndpoint() {
        assertFalse(Telemetry.isEnabled(Map.of("OTEL_SERVICE_NAME", "x")));
        String endpoint = "http://127.0.0.1:4318";
        assertTrue(Telemetry.isEnabled(Map.of("OTEL_EXPORTER_OTLP_METRICS_ENDPOINT", endpoint)));
    }
}
