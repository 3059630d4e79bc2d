package lineward.telemetry;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.metrics.DoubleHistogram;
import io.opentelemetry.api.metrics.LongCounter;
import io.opentelemetry.api.metrics.Meter;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.context.Context;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import lineward.core.Tracer;
import lineward.scheduling.AttemptOutcome;

/** Makes a span of each request and, below it, of each attempt, and counts both by class and outcome. */
final class OtlpTracer<X> implements Tracer<X> {
    private static final AttributeKey<String> CLASS = AttributeKey.stringKey("lineward.class");
    private static final AttributeKey<String> OUTCOME = AttributeKey.stringKey("lineward.outcome");
    private static final AttributeKey<String> REQUEST = AttributeKey.stringKey("lineward.request.id");
    private static final AttributeKey<String> ENGINE = AttributeKey.stringKey("lineward.engine");
    private static final AttributeKey<Long> ATTEMPT = AttributeKey.longKey("lineward.attempt");
    private static final double NANOS = 1e9;

    private static final class Live {
        private final Span span;
        private final String type;
        private final long since = System.nanoTime();
        private final Map<Integer, Span> attempts = new HashMap<>();
        private boolean over;

        Live(Span span, String type) {
            this.span = span;
            this.type = type;
        }
    }

    private final io.opentelemetry.api.trace.Tracer spans;
    private final LongCounter requests;
    private final LongCounter attempts;
    private final DoubleHistogram duration;
    private final Function<X, String> classOf;
    private final Function<X, String> idOf;
    private final Tracer<X> next;
    private final Map<X, Live> live = new IdentityHashMap<>();

    OtlpTracer(OpenTelemetry telemetry, Function<X, String> classOf, Function<X, String> idOf, Tracer<X> next) {
        this.classOf = classOf;
        this.idOf = idOf;
        this.next = next;
        spans = telemetry.getTracer("lineward");
        Meter meter = telemetry.getMeter("lineward");
        requests = meter.counterBuilder("lineward.requests")
                .setUnit("{request}")
                .setDescription("Requests that are over")
                .build();
        attempts = meter.counterBuilder("lineward.attempts")
                .setUnit("{attempt}")
                .setDescription("Attempts that have ended")
                .build();
        duration = meter.histogramBuilder("lineward.request.duration")
                .setUnit("s")
                .setDescription("From the taking of a request to its end")
                .build();
    }

    @Override
    public void requestAdmitted(X exchange) {
        String type = classOf.apply(exchange);
        live.put(
                exchange,
                new Live(
                        spans.spanBuilder("request")
                                .setSpanKind(SpanKind.SERVER)
                                .setAttribute(CLASS, type)
                                .setAttribute(REQUEST, idOf.apply(exchange))
                                .startSpan(),
                        type));
        next.requestAdmitted(exchange);
    }

    @Override
    public void attemptStarted(X exchange, int attempt, String engine) {
        Live request = live.get(exchange);
        if (request != null) {
            request.attempts.put(
                    attempt,
                    spans.spanBuilder("attempt")
                            .setSpanKind(SpanKind.CLIENT)
                            .setParent(Context.root().with(request.span))
                            .setAttribute(ENGINE, engine)
                            .setAttribute(CLASS, request.type)
                            .setAttribute(ATTEMPT, (long) attempt)
                            .startSpan());
        }
        next.attemptStarted(exchange, attempt, engine);
    }

    @Override
    public void attemptEnded(X exchange, int attempt, AttemptOutcome outcome) {
        Live request = live.get(exchange);
        Span span = request == null ? null : request.attempts.remove(attempt);
        if (span != null) {
            String word = word(outcome);
            attempts.add(1, Attributes.of(CLASS, request.type, OUTCOME, word));
            end(span, word, outcome == AttemptOutcome.OK);
            forgetIfOver(exchange, request);
        }
        next.attemptEnded(exchange, attempt, outcome);
    }

    @Override
    public void requestEnded(X exchange, Ending ending) {
        Live request = live.get(exchange);
        if (request != null) {
            String word = word(ending);
            Attributes attributes = Attributes.of(CLASS, request.type, OUTCOME, word);
            requests.add(1, attributes);
            duration.record((System.nanoTime() - request.since) / NANOS, attributes);
            end(request.span, word, ending == Ending.SERVED || ending == Ending.CANCELLED);
            request.over = true;
            forgetIfOver(exchange, request);
        }
        next.requestEnded(exchange, ending);
    }

    @Override
    public void log(String text) {
        next.log(text);
    }

    private void forgetIfOver(X exchange, Live request) {
        if (request.over && request.attempts.isEmpty()) {
            live.remove(exchange);
        }
    }

    private static void end(Span span, String outcome, boolean good) {
        span.setAttribute(OUTCOME, outcome);
        if (!good) {
            span.setStatus(StatusCode.ERROR);
        }
        span.end();
    }

    private static String word(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
