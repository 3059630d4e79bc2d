package lineward.core;

import lineward.scheduling.AttemptOutcome;

/**
 * Is notified of what becomes of requests and attempts, for logs, spans and metrics.
 *
 * @param <X> the protocol's own record of a request
 */
public interface Tracer<X> {
    /** How a request ended. */
    enum Ending {
        /** Its client got the engine's answer. */
        SERVED,
        /** It was rejected; a retry is harmless. */
        REJECTED,
        /** It failed, and may have run. */
        FAILED,
        /** Its client went. */
        CANCELLED
    }

    /** A request was admitted. */
    void requestAdmitted(X exchange);

    /** An attempt goes out to an engine. */
    void attemptStarted(X exchange, int attempt, String engine);

    /** An attempt has ended. */
    void attemptEnded(X exchange, int attempt, AttemptOutcome outcome);

    /** A request has completed. */
    void requestEnded(X exchange, Ending ending);

    /** A line of the scheduler for those on call. */
    void log(String text);
}
