package lineward.app;

import lineward.core.Tracer;
import lineward.scheduling.AttemptOutcome;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes the module's lines to the log; requests and attempts only for those who look closer. */
final class LogTracer<X> implements Tracer<X> {
    private static final Logger LOG = LoggerFactory.getLogger("planner");

    @Override
    public void requestAdmitted(X exchange) {
        LOG.debug("{} taken", exchange);
    }

    @Override
    public void attemptStarted(X exchange, int attempt, String engine) {
        LOG.debug("{} attempt {} to {}", exchange, attempt, engine);
    }

    @Override
    public void attemptEnded(X exchange, int attempt, AttemptOutcome outcome) {
        LOG.debug("{} attempt {} ended {}", exchange, attempt, outcome);
    }

    @Override
    public void requestEnded(X exchange, Ending ending) {
        LOG.debug("{} {}", exchange, ending);
    }

    @Override
    public void log(String text) {
        LOG.info(text);
    }
}
