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
    public record Context(Coordinator<Query> coordinator, Metrics metrics, Spool spool, Runnable tick) {}

    private final Context context;
    private final Query query;
    private final int attemptNumber;

    /** @param attemptNumber the number that the coordinator has assigned to the attempt */
    public AttemptReporter(Context context, Query query, int attemptNumber) {
        this.context = context;
        this.query = query;
        this.attemptNumber = attemptNumber;
    }

    @Override
    public void commandWritten() {
        context.metrics().countForwardedAttempt();
    }

    @Override
    public SpooledResult createSpooledResult() {
        return query.createSpooledResult(context.spool());
    }

    @Override
    public boolean alwaysSpools() {
        return query.spooling().isRequired();
    }

    @Override
    public boolean responseStarted() {
        boolean accepted = context.coordinator().responseStarted(query.requestId(), attemptNumber);
        query.startResponse(accepted);
        return accepted;
    }

    @Override
    public void ended(AttemptOutcome outcome, ByteBuf reply) {
        boolean mustSendReply = context.coordinator().attemptEnded(query.requestId(), attemptNumber, outcome);
        query.attemptEnded(mustSendReply, reply);
        context.tick().run();
    }
}
