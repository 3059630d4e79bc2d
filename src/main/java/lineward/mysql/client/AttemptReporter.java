package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import lineward.core.Coordinator;
import lineward.mysql.engine.AttemptListener;
import lineward.operations.Metrics;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.Spool;
import lineward.spool.SpooledResult;

/** Reports the progress and the end of one attempt to the coordinator and to its query. */
public final class AttemptReporter implements AttemptListener {
    /**
     * The components that all reporters share.
     *
     * @param tick schedules a tick, in which the coordinator processes its new events
     */
    public record Targets(Coordinator<Query> coordinator, Metrics metrics, Spool spool, Runnable tick) {}

    private final Targets targets;
    private final Query query;
    private final int attempt;

    /** @param attempt the number that the coordinator has assigned to the attempt */
    public AttemptReporter(Targets targets, Query query, int attempt) {
        this.targets = targets;
        this.query = query;
        this.attempt = attempt;
    }

    @Override
    public void commandWritten() {
        targets.metrics().countForwardedAttempt();
    }

    @Override
    public SpooledResult openSpool() {
        return query.openSpool(targets.spool());
    }

    @Override
    public boolean alwaysSpools() {
        return query.spooling().isRequired();
    }

    @Override
    public boolean responseStarted() {
        boolean accepted = targets.coordinator().responseStarted(query.requestId(), attempt);
        query.startResponse(accepted);
        return accepted;
    }

    @Override
    public void ended(AttemptOutcome outcome, ByteBuf reply) {
        boolean served = targets.coordinator().attemptEnded(query.requestId(), attempt, outcome);
        query.attemptEnded(served, reply);
        targets.tick().run();
    }
}
