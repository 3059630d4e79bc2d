package lineward.mysql.client;

import java.util.OptionalInt;
import java.util.OptionalLong;
import lineward.mysql.session.PreparedStatement;
import lineward.mysql.session.SpoolHint;
import lineward.mysql.session.StatementCursor;
import lineward.mysql.wire.ReplyStream;
import lineward.mysql.wire.ResultFormat;
import lineward.mysql.wire.SqlError;
import lineward.spool.ReadStatus;
import lineward.spool.Spool;
import lineward.spool.SpooledResult;

/**
 * Sends spooled results to one client, one reply at a time and no faster than it reads: results with a key,
 * rows of cursors, and results that exceed the buffer of an attempt.
 */
final class SpooledResultSender {
    private final ClientSession session;
    private final Spool spool;
    private final ClientReplyWriter replies;
    /** Null while no reply is being sent. */
    private ReplyStream active;

    SpooledResultSender(ClientSession session, Spool spool, ClientReplyWriter replies) {
        this.session = session;
        this.spool = spool;
        this.replies = replies;
    }

    /**
     * Answers a statement that names a spool key with the result stored under that key. If there is none, the
     * statement must be executed, unless it requests a page: pages are sent from complete results only, so
     * the reply is an error. The reply is also an error if the result belongs to another statement.
     *
     * @param digest digest of the statement and its arguments
     * @param cursorStatement the statement whose cursor is opened; null if all rows are sent in one reply
     * @return false if the statement must be executed; otherwise a reply or an error has been sent
     */
    boolean answer(SpoolHint hint, String digest, PreparedStatement cursorStatement) {
        SpooledResult result = spool.find(session.user(), hint.key());
        if (result == null) {
            if (hint.requestsPage()) {
                replies.sendError(SqlError.unknownKey());
            }
            return hint.requestsPage();
        }
        if (!result.digest().equals(digest)) {
            replies.sendError(SqlError.keyOfOtherStatement());
        } else if (hint.requestsPage() && !result.isComplete()) {
            replies.sendError(SqlError.unknownKey());
        } else {
            start(result, hint, cursorStatement);
        }
        return true;
    }

    /** Starts sending the result of the query's current attempt, which may be incomplete. */
    void start(Query query) {
        start(query.spooledResult(), SpoolHint.none(""), query.spooling().cursorStatement());
    }

    private void start(SpooledResult result, SpoolHint hint, PreparedStatement cursorStatement) {
        if (cursorStatement != null) {
            SpooledResultCursor opened =
                    open(result, new SpooledResultCursor.Range(hint.firstRow(), OptionalLong.empty()));
            cursorStatement.replaceCursor(opened);
            active = opened;
        } else if (hint.requestsPage()) {
            long maxRows = hint.rowLimit().orElse(Long.MAX_VALUE);
            active = open(result, new SpooledResultCursor.Range(hint.firstRow(), OptionalLong.of(maxRows)));
        } else {
            ResultFormat dialect = replies.dialect();
            active = new SpooledResultReplyStream(replies.alloc(), result, dialect, replies, this::ended);
        }
        session.transition(SessionState.Event.STREAM_STARTED);
        active.resume();
    }

    private SpooledResultCursor open(SpooledResult result, SpooledResultCursor.Range range) {
        ResultFormat dialect = replies.dialect();
        return new SpooledResultCursor(replies.alloc(), result, dialect, range, replies, this::ended);
    }

    /** Sends the next rows of the statement's open cursor. */
    void fetch(PreparedStatement statement, long maxRows) {
        StatementCursor cursor = statement.cursor();
        active = cursor;
        session.transition(SessionState.Event.STREAM_STARTED);
        cursor.fetch(maxRows);
    }

    /** Continues the current reply, if there is one and the channel is writable. */
    void resume() {
        if (active != null && replies.channel().isWritable()) {
            active.resume();
        }
    }

    void close() {
        if (active != null) {
            active.close();
            active = null;
        }
    }

    private void ended(ReadStatus readState, OptionalInt errorSequence) {
        if (readState == ReadStatus.EXPIRED && !replies.channel().isWritable()) {
            // An error packet would wait behind rows that the client does not read.
            replies.close();
        } else if (readState == ReadStatus.FAILED) {
            errorSequence.ifPresent(sequence -> replies.sendError(sequence, SqlError.resultIncomplete()));
        } else if (readState == ReadStatus.EXPIRED) {
            errorSequence.ifPresent(sequence -> replies.sendError(sequence, SqlError.leaseExpired()));
        }
        active = null;
        session.queryOrStreamEnded(SessionState.Event.STREAM_ENDED);
    }
}
