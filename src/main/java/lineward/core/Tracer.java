package lineward.core;

import peatwick.Front;

/**
 * Is told what becomes of requests and attempts, for logs, spans and metrics.
 *
 * @param <X> the front's own record of a request
 */
public interface Tracer<X> {
    /** How a request ended. */
    enum Ending {
        SERVED,
        REFUSED,
        FAILED,
        ABORTED
    }

    /** A request was taken. */
    void requestTaken(X exchange);

    /** An attempt goes out to an engine. */
    void attemptStarted(X exchange, int attempt, String engine);

    /** An attempt has ended. */
    void attemptEnded(X exchange, int attempt, Front.Outcome outcome);

    /** A request is over. */
    void requestEnded(X exchange, Ending ending);

    /** A line of the module for those on call. */
    void log(String text);
}
