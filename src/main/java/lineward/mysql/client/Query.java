package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import lineward.mysql.engine.AttemptListener;
import lineward.mysql.engine.QueryAttempt;
import lineward.mysql.session.ClientStatement;
import lineward.mysql.session.StatementClass;
import lineward.mysql.session.Work;
import lineward.spool.Spool;
import lineward.spool.SpooledResult;

/** One command of a client that an engine executes, with its current attempt. Confined to the event loop. */
public final class Query {
    /**
     * How the query's result is spooled.
     *
     * @param key the client's key for the result; empty if it has none
     * @param digest of the statement and its arguments if there is a key; else empty
     * @param cursor the statement for which a cursor is opened; null: the rows are one reply
     */
    record Spooling(String key, String digest, ClientStatement cursor) {
        /** The result is spooled only if it exceeds the buffer of an attempt. */
        static final Spooling IF_LONG = new Spooling("", "", null);

        boolean isRequired() {
            return !key.isEmpty() || cursor != null;
        }
    }

    private final QueryRunner runner;
    private final Work work;
    private final StatementClass statementClass;
    private final Map<String, String> settings;
    private final Spooling spooling;
    /** Set on admission. */
    private long requestId;
    /** Null before the first attempt. */
    private QueryAttempt attempt;

    private int attemptNumber;
    /** Whether the client reads the result of the current attempt. */
    private boolean responseStarted;
    /** The result of the current attempt if it is spooled; else null. */
    private SpooledResult spooledResult;

    /** @param settings session variables that must be set at the engine */
    Query(
            QueryRunner runner,
            Work work,
            StatementClass statementClass,
            Map<String, String> settings,
            Spooling spooling) {
        this.runner = runner;
        this.work = work;
        this.statementClass = statementClass;
        this.settings = settings;
        this.spooling = spooling;
    }

    Work work() {
        return work;
    }

    Spooling spooling() {
        return spooling;
    }

    /** Returns the result of the current attempt if it is spooled; else null. */
    SpooledResult spooledResult() {
        return spooledResult;
    }

    /** Returns the coordinator's id of the query; only once it is admitted. */
    public long requestId() {
        return requestId;
    }

    /** Returns the index of its class in the configuration. */
    public int classIndex() {
        return statementClass.configIndex();
    }

    /** Returns the index of its class in the scheduler's settings. */
    public int schedulerClassIndex() {
        return statementClass.schedulerIndex();
    }

    /** The coordinator has given the query this id. */
    public void admitted(long id) {
        requestId = id;
    }

    /** Creates the next attempt, which becomes the current one. */
    public QueryAttempt nextAttempt(int number, long timeoutMs, AttemptListener listener) {
        attempt = new QueryAttempt(work, settings, timeoutMs, listener);
        attemptNumber = number;
        spooledResult = null;
        return attempt;
    }

    /** Cancels the attempt if it is the current one. */
    public void cancelAttempt(int number) {
        if (attempt != null && attemptNumber == number) {
            attempt.cancel();
        }
    }

    /** The query is rejected; it has changed nothing. */
    public void reject(long retryAfterMs) {
        runner.reject(this, retryAfterMs);
    }

    /** The query has failed; an engine may have executed it. */
    public void fail() {
        runner.fail(this);
    }

    /** Opens the spooled result of the current attempt. */
    SpooledResult openSpool(Spool spool) {
        spooledResult = spool.begin(runner.user(), spooling.key(), spooling.digest());
        return spooledResult;
    }

    /**
     * The client may read the spooled result of the current attempt.
     *
     * @param accepted whether the coordinator still waits for the attempt
     */
    void startResponse(boolean accepted) {
        responseStarted = accepted;
        if (accepted) {
            runner.responseStarted(this);
        }
    }

    /**
     * The attempt has ended.
     *
     * @param served whether the attempt's reply is the query's answer
     * @param reply the reply, whose reference is taken over; null if it is spooled or incomplete
     */
    void attemptEnded(boolean served, ByteBuf reply) {
        if (responseStarted) {
            runner.streamedAttemptEnded(this);
        } else if (served) {
            runner.replyReceived(this, reply);
        } else if (reply != null) {
            reply.release();
        }
    }

    @Override
    public String toString() {
        return "client " + runner.clientNumber() + " request " + requestId;
    }
}
