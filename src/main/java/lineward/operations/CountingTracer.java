package lineward.operations;

import java.util.function.Function;
import lineward.core.Tracer;
import peatwick.Front;

/**
 * Counts each request that ends at the planner, once; what its client took back is in no figure.
 *
 * @param <X> the front's own record of a request
 */
public final class CountingTracer<X> implements Tracer<X> {
    private final Figures figures;
    private final Function<X, String> classOf;
    private final Tracer<X> next;

    /**
     * @param classOf names a request's class
     * @param next is told all the same
     */
    public CountingTracer(Figures figures, Function<X, String> classOf, Tracer<X> next) {
        this.figures = figures;
        this.classOf = classOf;
        this.next = next;
    }

    @Override
    public void requestTaken(X exchange) {
        next.requestTaken(exchange);
    }

    @Override
    public void attemptStarted(X exchange, int attempt, String engine) {
        next.attemptStarted(exchange, attempt, engine);
    }

    @Override
    public void attemptEnded(X exchange, int attempt, Front.Outcome outcome) {
        next.attemptEnded(exchange, attempt, outcome);
    }

    @Override
    public void requestEnded(X exchange, Ending ending) {
        switch (ending) {
            case SERVED -> figures.ended(classOf.apply(exchange), Figures.End.FULFILLED);
            case REFUSED -> figures.ended(classOf.apply(exchange), Figures.End.THROTTLED);
            case FAILED -> figures.ended(classOf.apply(exchange), Figures.End.FAULTED);
            case ABORTED -> {}
        }
        next.requestEnded(exchange, ending);
    }

    @Override
    public void log(String text) {
        next.log(text);
    }
}
