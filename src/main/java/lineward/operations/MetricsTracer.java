package lineward.operations;

import java.util.Optional;
import java.util.function.Function;
import lineward.core.Tracer;
import lineward.scheduling.AttemptOutcome;

/**
 * Counts the requests that the coordinator completes, except those that their clients have cancelled. Called
 * on the event loop.
 *
 * @param <X> the protocol's representation of a request
 */
public final class MetricsTracer<X> implements Tracer<X> {
    private final Metrics metrics;
    private final Function<X, String> classOf;
    private final Tracer<X> delegate;

    /**
     * Creates a tracer that counts requests and forwards each event.
     *
     * @param classOf returns the class of a request
     * @param delegate receives each event
     */
    public MetricsTracer(Metrics metrics, Function<X, String> classOf, Tracer<X> delegate) {
        this.metrics = metrics;
        this.classOf = classOf;
        this.delegate = delegate;
    }

    @Override
    public void requestAdmitted(X exchange) {
        delegate.requestAdmitted(exchange);
    }

    @Override
    public void attemptStarted(X exchange, int attempt, String engine) {
        delegate.attemptStarted(exchange, attempt, engine);
    }

    @Override
    public void attemptEnded(X exchange, int attempt, AttemptOutcome outcome) {
        delegate.attemptEnded(exchange, attempt, outcome);
    }

    @Override
    public void requestEnded(X exchange, Ending ending) {
        statusOf(ending).ifPresent(status -> metrics.countEndedRequest(classOf.apply(exchange), status));
        delegate.requestEnded(exchange, ending);
    }

    private static Optional<Metrics.RequestStatus> statusOf(Ending ending) {
        return switch (ending) {
            case SERVED -> Optional.of(Metrics.RequestStatus.SERVED);
            case REJECTED -> Optional.of(Metrics.RequestStatus.REJECTED);
            case FAILED -> Optional.of(Metrics.RequestStatus.FAILED);
            case CANCELLED -> Optional.empty();
        };
    }

    @Override
    public void log(String text) {
        delegate.log(text);
    }
}
