package lineward.operations;

import java.util.function.Function;
import lineward.core.Tracer;
import lineward.scheduling.AttemptOutcome;

/**
 * Counts each request that ends at the planner, once; what its client took back is in no figure.
 *
 * @param <X> the front's own record of a request
 */
public final class MetricsTracer<X> implements Tracer<X> {
    private final Metrics figures;
    private final Function<X, String> classOf;
    private final Tracer<X> next;

    /**
     * @param classOf names a request's class
     * @param next is told all the same
     */
    public MetricsTracer(Metrics figures, Function<X, String> classOf, Tracer<X> next) {
        this.figures = figures;
        this.classOf = classOf;
        this.next = next;
    }

    @Override
    public void requestAdmitted(X exchange) {
        next.requestAdmitted(exchange);
    }

    @Override
    public void attemptStarted(X exchange, int attempt, String engine) {
        next.attemptStarted(exchange, attempt, engine);
    }

    @Override
    public void attemptEnded(X exchange, int attempt, AttemptOutcome outcome) {
        next.attemptEnded(exchange, attempt, outcome);
    }

    @Override
    public void requestEnded(X exchange, Ending ending) {
        switch (ending) {
            case SERVED -> figures.ended(classOf.apply(exchange), Metrics.Ending.FULFILLED);
            case REJECTED -> figures.ended(classOf.apply(exchange), Metrics.Ending.THROTTLED);
            case FAILED -> figures.ended(classOf.apply(exchange), Metrics.Ending.FAULTED);
            case CANCELLED -> {}
        }
        next.requestEnded(exchange, ending);
    }

    @Override
    public void log(String text) {
        next.log(text);
    }
}
