package lineward.mysql;

import io.netty.buffer.ByteBuf;
import lineward.spool.SpoolPolicy;

/**
 * Runs the commands of one client that an engine must answer, one at a time, and relays what becomes of
 * each.
 */
final class QueryRunner {
    /** Where a reply to COM_STMT_PREPARE holds the statement's id, from the beginning of its first packet. */
    private static final int PREPARED_ID_OFFSET = Packets.HEAD + 1;

    private static final int PREPARED_PARAMETERS_OFFSET = Packets.HEAD + 7;
    private static final int SEQUENCE_OFFSET = Packets.HEAD - 1;

    private final ClientSession session;
    private final MysqlServer server;
    private final ReplyWriter replies;
    private final SessionSettings settings;
    private final PreparedStatements statements;
    private final SpoolStream stream;
    private Query running;
    private String schema = "";

    QueryRunner(
            ClientSession session,
            MysqlServer server,
            ReplyWriter replies,
            SessionSettings settings,
            PreparedStatements statements,
            SpoolStream stream) {
        this.session = session;
        this.server = server;
        this.replies = replies;
        this.settings = settings;
        this.statements = statements;
        this.stream = stream;
    }

    /** Returns the schema that the client has chosen, as a Latin-1 string of its bytes; empty if none. */
    String schema() {
        return schema;
    }

    void resetSchema() {
        schema = "";
    }

    /** Has an engine choose the schema, which holds from then on if it exists there. */
    void useSchema(String latin1) {
        run(new Work.UseSchema(latin1), "USE", false, Query.Spooling.PLAIN);
    }

    /**
     * Hands a command to the coordinator; it is rejected if the spool or the coordinator has no capacity.
     *
     * @param text the statement, by which its class is found
     */
    void run(Work work, String text, boolean writes, Query.Spooling spooling) {
        Query query = new Query(session, work, server.typeOf(text, writes), settings.forEngines(), spooling);
        running = query;
        session.enter(SessionState.Event.QUERY_STARTED);
        if (!writes && server.spool().admit(session.user()) instanceof SpoolPolicy.Rejected rejection) {
            server.countRejected(query);
            reject(query, rejection.retryAfterMs());
        } else if (!server.admit(query)) {
            reject(query, MysqlServer.BUSY_RETRY_MS);
        }
    }

    /** Tells the client that its query was rejected and changed nothing. */
    void reject(Query query, long retryAfterMs) {
        endWith(query, Failure.rejected(retryAfterMs));
    }

    /** Tells the client that its query may have run and has no complete answer. */
    void fail(Query query) {
        endWith(query, Failure.failed());
    }

    private void endWith(Query query, Failure failure) {
        if (running == query) {
            releaseReservation(query);
            replies.sendError(failure);
            complete();
        }
    }

    /** Relays a complete reply, whose buffer is taken over; null: it is in the spool. */
    void replyReceived(Query query, ByteBuf reply) {
        if (reply == null) {
            responseStarted(query);
            attemptEnded(query);
        } else if (isCurrent(query)) {
            relay(query, reply);
        } else {
            reply.release();
        }
    }

    /** The bytes go out as they came, but for ids and sequence numbers that are this server's own. */
    private void relay(Query query, ByteBuf reply) {
        boolean succeeded = Packets.first(reply) != Packets.ERR;
        boolean prepared = succeeded && query.work instanceof Work.Prepare;
        if (prepared) {
            registerPrepared((Work.Prepare) query.work, reply);
        } else {
            releaseReservation(query);
        }
        if (query.work instanceof Work.UseSchema use) {
            schema = succeeded ? use.schema() : schema;
            reply.setByte(reply.readerIndex() + SEQUENCE_OFFSET, replies.nextSequence());
        }
        replies.send(replies.dialect().reframe(replies.alloc(), reply, prepared));
        complete();
    }

    private void registerPrepared(Work.Prepare work, ByteBuf reply) {
        int parameters = reply.getUnsignedShortLE(reply.readerIndex() + PREPARED_PARAMETERS_OFFSET);
        long id = statements.add(work, parameters);
        reply.setIntLE(reply.readerIndex() + PREPARED_ID_OFFSET, (int) id);
    }

    /** Sends the spooled result of the query from now on, complete or not. */
    void responseStarted(Query query) {
        if (isCurrent(query)) {
            stream.start(query);
        } else {
            query.spooled.abandon();
        }
    }

    /** The attempt whose result is sent has ended; the remaining rows, or an error, follow from the spool. */
    void attemptEnded(Query query) {
        if (running == query) {
            complete();
        }
    }

    /** Gives up the query that runs: its client has gone. */
    void abort() {
        if (running != null) {
            Query aborted = running;
            running = null;
            releaseReservation(aborted);
            server.cancel(aborted);
        }
    }

    private boolean isCurrent(Query query) {
        return running == query && replies.channel().isActive();
    }

    private void releaseReservation(Query query) {
        if (query.work instanceof Work.Prepare work) {
            statements.release(work);
        }
    }

    private void complete() {
        running = null;
        session.commandStepEnded(SessionState.Event.QUERY_ENDED);
    }
}
