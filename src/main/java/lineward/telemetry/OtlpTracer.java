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
import java.util.Map;
import java.util.function.Function;
import lineward.core.Tracer;
import lineward.scheduling.AttemptOutcome;

/**
 * Creates a span for each request with child spans for its attempts, counts requests and attempts by class
 * and outcome, and measures the durations of requests. Called on the event loop.
 *
 * @param <X> the protocol's representation of a request
 */
final class OtlpTracer<X> implements Tracer<X> {
    private static final String INSTRUMENTATION_SCOPE = "lineward";
    private static final AttributeKey<String> CLASS = AttributeKey.stringKey("lineward.class");
    private static final AttributeKey<String> OUTCOME = AttributeKey.stringKey("lineward.outcome");
    private static final AttributeKey<String> REQUEST_ID = AttributeKey.stringKey("lineward.request.id");
    private static final AttributeKey<String> ENGINE = AttributeKey.stringKey("lineward.engine");
    private static final AttributeKey<Long> ATTEMPT = AttributeKey.longKey("lineward.attempt");
    private static final double NANOS_PER_SECOND = 1e9;

    /** The spans of a request; kept until the request and all of its attempts have ended. */
    private static final class RequestSpans {
        private final Span requestSpan;
        private final String className;
        private final long startNanos = System.nanoTime();
        private final Map<Integer, Span> attemptSpans = new HashMap<>();
        private boolean requestEnded;

        RequestSpans(Span requestSpan, String className) {
            this.requestSpan = requestSpan;
            this.className = className;
        }

        boolean isComplete() {
            return requestEnded && attemptSpans.isEmpty();
        }

        double secondsSinceStart() {
            return (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
        }
    }

    private final io.opentelemetry.api.trace.Tracer spanTracer;
    private final LongCounter requestCounter;
    private final LongCounter attemptCounter;
    private final DoubleHistogram requestDuration;
    private final Function<X, String> classOf;
    private final Function<X, String> idOf;
    private final Tracer<X> delegate;
    private final IdentityHashMap<X, RequestSpans> incompleteRequests = new IdentityHashMap<>();

    OtlpTracer(OpenTelemetry sdk, Function<X, String> classOf, Function<X, String> idOf, Tracer<X> delegate) {
        this.classOf = classOf;
        this.idOf = idOf;
        this.delegate = delegate;
        spanTracer = sdk.getTracer(INSTRUMENTATION_SCOPE);
        Meter meter = sdk.getMeter(INSTRUMENTATION_SCOPE);
        requestCounter = meter.counterBuilder("lineward.requests")
                .setUnit("{request}")
                .setDescription("Requests that are over")
                .build();
        attemptCounter = meter.counterBuilder("lineward.attempts")
                .setUnit("{attempt}")
                .setDescription("Attempts that have ended")
                .build();
        requestDuration = meter.histogramBuilder("lineward.request.duration")
                .setUnit("s")
                .setDescription("From the taking of a request to its end")
                .build();
    }

    @Override
    public void requestAdmitted(X exchange) {
        String className = classOf.apply(exchange);
        Span span = spanTracer
                .spanBuilder("request")
                .setSpanKind(SpanKind.SERVER)
                .setAttribute(CLASS, className)
                .setAttribute(REQUEST_ID, idOf.apply(exchange))
                .startSpan();
        incompleteRequests.put(exchange, new RequestSpans(span, className));
        delegate.requestAdmitted(exchange);
    }

    @Override
    public void attemptStarted(X exchange, int attempt, String engine) {
        RequestSpans spans = incompleteRequests.get(exchange);
        if (spans != null) {
            Span span = spanTracer
                    .spanBuilder("attempt")
                    .setSpanKind(SpanKind.CLIENT)
                    .setParent(Context.root().with(spans.requestSpan))
                    .setAttribute(ENGINE, engine)
                    .setAttribute(CLASS, spans.className)
                    .setAttribute(ATTEMPT, (long) attempt)
                    .startSpan();
            spans.attemptSpans.put(attempt, span);
        }
        delegate.attemptStarted(exchange, attempt, engine);
    }

    @Override
    public void attemptEnded(X exchange, int attempt, AttemptOutcome outcome) {
        RequestSpans spans = incompleteRequests.get(exchange);
        Span span = spans == null ? null : spans.attemptSpans.remove(attempt);
        if (span != null) {
            String value = OutcomeAttribute.valueOf(outcome);
            attemptCounter.add(1, Attributes.of(CLASS, spans.className, OUTCOME, value));
            end(span, value, outcome == AttemptOutcome.OK);
            removeIfComplete(exchange, spans);
        }
        delegate.attemptEnded(exchange, attempt, outcome);
    }

    @Override
    public void requestEnded(X exchange, Ending ending) {
        RequestSpans spans = incompleteRequests.get(exchange);
        if (spans != null) {
            String value = OutcomeAttribute.valueOf(ending);
            Attributes attributes = Attributes.of(CLASS, spans.className, OUTCOME, value);
            requestCounter.add(1, attributes);
            requestDuration.record(spans.secondsSinceStart(), attributes);
            // A cancellation by the client is not an error.
            end(spans.requestSpan, value, ending == Ending.SERVED || ending == Ending.CANCELLED);
            spans.requestEnded = true;
            removeIfComplete(exchange, spans);
        }
        delegate.requestEnded(exchange, ending);
    }

    @Override
    public void log(String text) {
        delegate.log(text);
    }

    private void removeIfComplete(X exchange, RequestSpans spans) {
        if (spans.isComplete()) {
            incompleteRequests.remove(exchange);
        }
    }

    private static void end(Span span, String outcome, boolean successful) {
        span.setAttribute(OUTCOME, outcome);
        if (!successful) {
            span.setStatus(StatusCode.ERROR);
        }
        span.end();
    }
}
