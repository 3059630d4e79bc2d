package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import java.util.Map;
import lineward.mysql.engine.AttemptListener;
import lineward.mysql.engine.MysqlQueryAttempt;
import lineward.mysql.session.PreparedStatement;
import lineward.mysql.session.StatementClass;
import lineward.mysql.session.Work;
import lineward.spool.Spool;
import lineward.spool.SpooledResult;

/** A client's command that an engine must execute, with its current attempt. Confined to the event loop. */
public final class Query {
    /**
     * Whether and how the query's result is spooled.
     *
     * @param key the key by which the client can read the result again; empty if it has none
     * @param digest digest of the statement and its arguments if there is a key; else empty
     * @param cursorStatement the statement whose cursor is opened; null if all rows are sent in one reply
     */
    record SpoolOptions(String key, String digest, PreparedStatement cursorStatement) {
        /** The result is spooled only if it exceeds the attempt's buffer. */
        static final SpoolOptions IF_LONG = new SpoolOptions("", "", null);

        boolean isRequired() {
            return !key.isEmpty() || cursorStatement != null;
        }
    }

    private final QueryRunner runner;
    private final Work command;
    private final StatementClass statementClass;
    private final Map<String, String> settings;
    private final SpoolOptions spooling;
    private boolean isAdmitted;
    /** Assigned on admission. */
    private long requestId;
    /** Null before the first attempt. */
    private MysqlQueryAttempt attempt;

    private int attemptNumber;
    /** Whether the client already reads the spooled result of the current attempt. */
    private boolean responseStarted;
    /** The result of the current attempt if it is spooled; else null. */
    private SpooledResult spooledResult;

    /** @param settings the session variables that the engine must have set when it executes the command */
    Query(
            QueryRunner runner,
            Work command,
            StatementClass statementClass,
            Map<String, String> settings,
            SpoolOptions spooling) {
        this.runner = runner;
        this.command = command;
        this.statementClass = statementClass;
        this.settings = settings;
        this.spooling = spooling;
    }

    /** Returns the command that the engine executes. */
    public Work command() {
        return command;
    }

    SpoolOptions spooling() {
        return spooling;
    }

    /** Returns the result of the current attempt if it is spooled; else null. */
    SpooledResult spooledResult() {
        return spooledResult;
    }

    /** Returns the id that the coordinator assigned; must not be called before the query is admitted. */
    public long requestId() {
        return requestId;
    }

    /** Returns the index of the query's class in the configuration. */
    public int classIndex() {
        return statementClass.configIndex();
    }

    /** Returns the index of the query's class in the scheduler's settings. */
    public int schedulerClassIndex() {
        return statementClass.schedulerIndex();
    }

    /** Records that the coordinator has admitted the query and assigned this id to it. */
    public void admitted(long id) {
        isAdmitted = true;
        requestId = id;
    }

    /** Returns whether the coordinator has admitted the query. */
    boolean isAdmitted() {
        return isAdmitted;
    }

    /** Creates the next attempt and makes it the current one. */
    public MysqlQueryAttempt nextAttempt(int number, long timeoutMs, AttemptListener listener) {
        attempt = new MysqlQueryAttempt(command, settings, timeoutMs, listener);
        attemptNumber = number;
        spooledResult = null;
        return attempt;
    }

    /** Cancels the attempt with this number if it is the current one. */
    public void cancelAttempt(int number) {
        if (attempt != null && attemptNumber == number) {
            attempt.cancel();
        }
    }

    /** Reports to the client that the query was rejected and changed nothing. */
    public void reject(long retryAfterMs) {
        runner.reject(this, retryAfterMs);
    }

    /** Reports to the client that the query failed; an engine may have executed it. */
    public void fail() {
        runner.fail(this);
    }

    /** Creates the spooled result of the current attempt. */
    SpooledResult createSpooledResult(Spool spool) {
        spooledResult = spool.begin(runner.user(), spooling.key(), spooling.digest());
        return spooledResult;
    }

    /**
     * Starts sending the spooled result of the current attempt, which may be incomplete.
     *
     * @param isAwaited whether the coordinator still waits for the attempt; otherwise nothing is sent
     */
    void startResponse(boolean isAwaited) {
        responseStarted = isAwaited;
        if (isAwaited) {
            runner.responseStarted(this);
        }
    }

    /**
     * Handles the end of the attempt.
     *
     * @param mustSendReply whether the attempt's reply must be sent to the client
     * @param reply the reply, whose reference is taken over; null if it is spooled or incomplete
     */
    void attemptEnded(boolean mustSendReply, ByteBuf reply) {
        if (responseStarted) {
            runner.streamedAttemptEnded(this);
        } else if (mustSendReply) {
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
