package lineward.core;

import lineward.scheduling.AttemptOutcome;

/**
 * Is notified of the progress and end of requests and attempts, for logs, spans and metrics. The coordinator
 * calls it on the event loop.
 *
 * @param <X> the protocol's own record of a request
 */
public interface Tracer<X> {
    /** How a request ended. */
    enum Ending {
        /** An engine's answer was sent to its client. */
        SERVED,
        /** It was rejected, so a retry is harmless. */
        REJECTED,
        /** It failed; it may have run. */
        FAILED,
        /** Its client disconnected or cancelled it. */
        CANCELLED
    }

    /** A request was admitted. */
    void requestAdmitted(X exchange);

    /** An attempt was started at an engine. */
    void attemptStarted(X exchange, int attempt, String engine);

    /** An attempt has ended. */
    void attemptEnded(X exchange, int attempt, AttemptOutcome outcome);

    /** A request has completed. */
    void requestEnded(X exchange, Ending ending);

    /** The scheduler logs a line for the on-call engineer. */
    void log(String text);
}
