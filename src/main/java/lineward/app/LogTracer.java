package lineward.app;

import lineward.core.Tracer;
import lineward.scheduling.AttemptOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs events of requests and attempts at level DEBUG, and messages of the scheduler at level INFO. */
final class LogTracer<X> implements Tracer<X> {
    private static final Logger LOG = LoggerFactory.getLogger("planner");

    @Override
    public void requestAdmitted(X exchange) {
        LOG.debug("request admitted: request={}", exchange);
    }

    @Override
    public void attemptStarted(X exchange, int attempt, String engine) {
        LOG.debug("attempt started: request={} attempt={} engine={}", exchange, attempt, engine);
    }

    @Override
    public void attemptEnded(X exchange, int attempt, AttemptOutcome outcome) {
        LOG.debug("attempt ended: request={} attempt={} outcome={}", exchange, attempt, outcome);
    }

    @Override
    public void requestEnded(X exchange, Ending ending) {
        LOG.debug("request ended: request={} outcome={}", exchange, ending);
    }

    @Override
    public void log(String text) {
        LOG.info("{}", text);
    }
}
