package lineward.core;

import lineward.scheduling.AttemptOutcome;

/**
 * A tracer that ignores all events.
 *
 * @param <X> the test's representation of a request
 */
final class NoOpTracer<X> implements Tracer<X> {
    @Override
    public void requestAdmitted(X exchange) {}

    @Override
    public void attemptStarted(X exchange, int attempt, String engine) {}

    @Override
    public void attemptEnded(X exchange, int attempt, AttemptOutcome outcome) {}

    @Override
    public void requestEnded(X exchange, Ending ending) {}

    @Override
    public void log(String text) {}
}
