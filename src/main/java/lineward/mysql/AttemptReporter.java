package lineward.mysql;

import io.netty.buffer.ByteBuf;
import lineward.core.Coordinator;
import lineward.operations.Metrics;
import lineward.scheduling.AttemptOutcome;
import lineward.spool.Spool;
import lineward.spool.SpooledResult;

/** Reports the progress of one attempt to the coordinator and to the client that waits for it. */
final class AttemptReporter implements AttemptListener {
    /**
     * What the reports of all attempts go to.
     *
     * @param wakeUp is called when the coordinator has something to decide on
     */
    record Targets(Coordinator<Query> coordinator, Metrics metrics, Spool spool, Runnable wakeUp) {}

    private final Targets targets;
    private final Query query;
    private final int attempt;

    /** @param attempt the number that the coordinator gave to the attempt */
    AttemptReporter(Targets targets, Query query, int attempt) {
        this.targets = targets;
        this.query = query;
        this.attempt = attempt;
    }

    @Override
    public void commandWritten() {
        targets.metrics().countForwarded();
    }

    @Override
    public SpooledResult openSpool() {
        Query.Spooling spooling = query.spooling;
        query.spooled = targets.spool().begin(query.client.user(), spooling.key(), spooling.digest());
        return query.spooled;
    }

    @Override
    public boolean alwaysSpools() {
        return !query.spooling.isPlain();
    }

    @Override
    public boolean responseStarted() {
        query.open = targets.coordinator().responseStarted(query.request, attempt);
        if (query.open) {
            query.client.responseStarted(query);
        }
        return query.open;
    }

    @Override
    public void ended(AttemptOutcome outcome, ByteBuf reply) {
        boolean served = targets.coordinator().attemptEnded(query.request, attempt, outcome);
        if (query.open) {
            query.client.attemptEnded(query);
        } else if (served) {
            query.client.replyReceived(query, reply);
        } else if (reply != null) {
            reply.release();
        }
        targets.wakeUp().run();
    }
}
