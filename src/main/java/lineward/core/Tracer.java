package lineward.core;

import lineward.scheduling.AttemptOutcome;

/**
 * Receives the progress and end of requests and attempts, for logs, spans and metrics. Called by the
 * coordinator, on the event loop.
 *
 * @param <X> the protocol's representation of a request
 */
public interface Tracer<X> {
    /** Final status of a request. */
    enum Ending {
        /** An engine's result is the final answer. */
        SERVED,
        /** The request was rejected. It has not run, or running it again does no harm. */
        REJECTED,
        /** The request failed and may have run. */
        FAILED,
        /** The client disconnected or cancelled the request. */
        CANCELLED
    }

    /** Called when a request is admitted. */
    void requestAdmitted(X protocolRequest);

    /**
     * Called when an attempt is started at an engine.
     *
     * @param engineId id of the engine; null if the engine is no longer known
     */
    void attemptStarted(X protocolRequest, int attemptNumber, String engineId);

    /** Called when an attempt ends. */
    void attemptEnded(X protocolRequest, int attemptNumber, AttemptOutcome outcome);

    /** Called when a request is completed. */
    void requestEnded(X protocolRequest, Ending ending);

    /** Logs a message of the scheduler for the operator. */
    void log(String text);
}
