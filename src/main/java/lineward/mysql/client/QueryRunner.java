package lineward.mysql.client;

import io.netty.buffer.ByteBuf;
import java.util.OptionalLong;
import lineward.mysql.session.PreparedStatements;
import lineward.mysql.session.SessionSettings;
import lineward.mysql.session.StatementClass;
import lineward.mysql.session.Work;
import lineward.mysql.wire.Packets;
import lineward.mysql.wire.SqlError;
import lineward.spool.SpoolPolicy;

/** Runs those commands of one client that an engine must execute, one at a time, and sends their replies. */
final class QueryRunner {
    /** Offset of the statement id in the first packet of a reply to COM_STMT_PREPARE. */
    private static final int STATEMENT_ID_OFFSET = Packets.HEADER_BYTES + 1;

    private static final int PARAMETER_COUNT_OFFSET = Packets.HEADER_BYTES + 7;
    private static final int SEQUENCE_OFFSET = Packets.HEADER_BYTES - 1;
    /** The retry delay suggested for a query that is not admitted. */
    private static final long RETRY_AFTER_MS = 500;

    private final ClientSession session;
    private final ClientContext context;
    private final ClientReplyWriter replies;
    private final SessionSettings settings;
    private final PreparedStatements statements;
    private final SpooledResultSender resultSender;
    /** Null while no query runs. */
    private Query runningQuery;

    private String schema = "";

    QueryRunner(
            ClientSession session,
            ClientContext context,
            ClientReplyWriter replies,
            SessionSettings settings,
            PreparedStatements statements,
            SpooledResultSender resultSender) {
        this.session = session;
        this.context = context;
        this.replies = replies;
        this.settings = settings;
        this.statements = statements;
        this.resultSender = resultSender;
    }

    String user() {
        return session.user();
    }

    int clientNumber() {
        return session.clientNumber();
    }

    /** Returns the selected schema, encoded as in {@link lineward.mysql.wire.Latin1Texts}; empty if none. */
    String schema() {
        return schema;
    }

    void resetSchema() {
        schema = "";
    }

    /** Selects the schema of the session, if an engine confirms that the schema exists. */
    void useSchema(String latin1) {
        run(new Work.UseSchema(latin1), "USE", false, Query.SpoolOptions.IF_LONG);
    }

    /**
     * Starts a query. It is rejected if it is not admitted or, unless it writes, if the spool has no capacity
     * for its result.
     *
     * @param text the statement's text, which determines the query's class
     */
    void run(Work command, String text, boolean writes, Query.SpoolOptions spooling) {
        StatementClass statementClass = context.dispatcher().classOf(text, writes);
        Query query = new Query(this, command, statementClass, settings.forEngines(), spooling);
        runningQuery = query;
        session.transition(SessionState.Event.QUERY_STARTED);
        if (!writes && context.spool().admit(session.user()) instanceof SpoolPolicy.Rejected rejection) {
            context.dispatcher().countRejected(query);
            reject(query, rejection.retryAfterMs());
        } else if (!context.dispatcher().admit(query)) {
            reject(query, RETRY_AFTER_MS);
        }
    }

    /** Reports to the client that its query was rejected and changed nothing. */
    void reject(Query query, long retryAfterMs) {
        endWithError(query, SqlError.rejected(retryAfterMs));
    }

    /** Reports to the client that its query failed and may have been executed. */
    void fail(Query query) {
        endWithError(query, SqlError.outcomeUnknown());
    }

    private void endWithError(Query query, SqlError failure) {
        if (runningQuery == query) {
            releaseReservation(query);
            replies.sendError(failure);
            complete();
        }
    }

    /** Sends a complete reply and takes over its reference; the reply is null if it is spooled. */
    void replyReceived(Query query, ByteBuf reply) {
        if (reply == null) {
            responseStarted(query);
            streamedAttemptEnded(query);
        } else if (isCurrent(query)) {
            relay(query, reply);
        } else {
            reply.release();
        }
    }

    /**
     * Sends the reply. The id of a prepared statement is replaced by this session's. The reply to a change of
     * the schema gets this session's sequence number, as it may answer a login packet instead of a command.
     */
    private void relay(Query query, ByteBuf reply) {
        boolean succeeded = Packets.firstByte(reply) != Packets.ERR;
        boolean prepared = succeeded && query.command() instanceof Work.Prepare;
        if (prepared && !registerPrepared((Work.Prepare) query.command(), reply)) {
            reply.release();
            replies.sendError(SqlError.tooMany("prepared statements"));
            complete();
            return;
        }
        if (!prepared) {
            releaseReservation(query);
        }
        if (query.command() instanceof Work.UseSchema use) {
            schema = succeeded ? use.schema() : schema;
            reply.setByte(reply.readerIndex() + SEQUENCE_OFFSET, replies.nextSequence());
        }
        replies.send(replies.dialect().convert(replies.alloc(), reply, prepared));
        complete();
    }

    /** Registers the statement and writes its id to the reply; returns false if it exceeds a limit. */
    private boolean registerPrepared(Work.Prepare command, ByteBuf reply) {
        int parameterCount = reply.getUnsignedShortLE(reply.readerIndex() + PARAMETER_COUNT_OFFSET);
        OptionalLong id = statements.add(command, parameterCount);
        id.ifPresent(number -> reply.setIntLE(reply.readerIndex() + STATEMENT_ID_OFFSET, (int) number));
        return id.isPresent();
    }

    /** Starts sending the spooled result of the query, which may be incomplete, if the client still waits. */
    void responseStarted(Query query) {
        if (isCurrent(query)) {
            resultSender.start(query);
        } else {
            query.spooledResult().releaseUnlessRetained();
        }
    }

    /**
     * Ends the query, as the attempt has ended whose spooled result is being sent. The stream goes on to send
     * the rest of the result, or an error if the result is incomplete.
     */
    void streamedAttemptEnded(Query query) {
        if (runningQuery == query) {
            complete();
        }
    }

    /** Cancels the running query, if any, because the client has disconnected. */
    void abort() {
        if (runningQuery != null) {
            Query aborted = runningQuery;
            runningQuery = null;
            releaseReservation(aborted);
            context.dispatcher().cancel(aborted);
            release(aborted);
        }
    }

    private void release(Query ended) {
        if (ended.isAdmitted()) {
            context.dispatcher().completed(ended);
        }
    }

    private boolean isCurrent(Query query) {
        return runningQuery == query && replies.channel().isActive();
    }

    private void releaseReservation(Query query) {
        if (query.command() instanceof Work.Prepare command) {
            statements.releaseReservation(command);
        }
    }

    private void complete() {
        Query completed = runningQuery;
        runningQuery = null;
        release(completed);
        session.queryOrStreamEnded(SessionState.Event.QUERY_ENDED);
    }
}
