package lineward.core;

import lineward.scheduling.AttemptOutcome;

/**
 * A tracer that ignores all events.
 *
 * @param <X> the test's representation of a request
 */
final class NoOpTracer<X> implements Tracer<X> {
    @Override
    public void requestAdmitted(X protocolRequest) {}

    @Override
    public void attemptStarted(X protocolRequest, int attemptNumber, String engineId) {}

    @Override
    public void attemptEnded(X protocolRequest, int attemptNumber, AttemptOutcome outcome) {}

    @Override
    public void requestEnded(X protocolRequest, Ending ending) {}

    @Override
    public void log(String text) {}
}
