package lineward.mysql.client;

import java.util.OptionalInt;
import java.util.OptionalLong;
import lineward.mysql.session.ClientStatement;
import lineward.mysql.session.SpoolHint;
import lineward.mysql.session.StatementCursor;
import lineward.mysql.wire.Dialect;
import lineward.mysql.wire.Failure;
import lineward.mysql.wire.ReplyStream;
import lineward.spool.ReadStatus;
import lineward.spool.Spool;
import lineward.spool.SpooledResult;

/**
 * Sends spooled results to one client, one reply at a time and no faster than it reads: results with a key,
 * rows of cursors, and results that exceed the buffer of an attempt.
 */
final class SpoolStream {
    private final ClientSession session;
    private final Spool spool;
    private final ReplyWriter replies;
    /** Null while no reply is being sent. */
    private ReplyStream active;

    SpoolStream(ClientSession session, Spool spool, ReplyWriter replies) {
        this.session = session;
        this.spool = spool;
        this.replies = replies;
    }

    /**
     * Answers a statement with a key from the spool. If the key has no result, the statement must be
     * executed, unless it requests a page: pages are sent from complete results only, so that the answer is
     * an error. It is also an error if the result belongs to another statement.
     *
     * @param digest digest of the statement and its arguments
     * @param cursor the statement whose cursor is opened; null if all rows are sent in one reply
     * @return false if the statement must be executed; otherwise a reply or an error has been sent
     */
    boolean answer(SpoolHint hint, String digest, ClientStatement cursor) {
        SpooledResult result = spool.find(session.user(), hint.key());
        if (result == null) {
            if (hint.requestsPage()) {
                replies.sendError(Failure.noResult());
            }
            return hint.requestsPage();
        }
        if (!result.digest().equals(digest)) {
            replies.sendError(Failure.otherResult());
        } else if (hint.requestsPage() && !result.isComplete()) {
            replies.sendError(Failure.noResult());
        } else {
            start(result, hint, cursor);
        }
        return true;
    }

    /** Starts sending the result of the query's current attempt, which may be incomplete. */
    void start(Query query) {
        start(query.spooledResult(), SpoolHint.none(""), query.spooling().cursor());
    }

    private void start(SpooledResult result, SpoolHint hint, ClientStatement cursor) {
        if (cursor != null) {
            OpenCursor opened = open(result, new OpenCursor.Range(hint.firstRow(), OptionalLong.empty()));
            cursor.replaceCursor(opened);
            active = opened;
        } else if (hint.requestsPage()) {
            long rowCount = hint.rowLimit().orElse(Long.MAX_VALUE);
            active = open(result, new OpenCursor.Range(hint.firstRow(), OptionalLong.of(rowCount)));
        } else {
            active = new ReplyPump(replies.channel(), result, replies.dialect(), replies::send, this::ended);
        }
        session.enter(SessionState.Event.STREAM_STARTED);
        active.resume();
    }

    private OpenCursor open(SpooledResult result, OpenCursor.Range range) {
        Dialect dialect = replies.dialect();
        return new OpenCursor(replies.channel(), result, dialect, range, replies::send, this::ended);
    }

    /** Sends the next rows of the statement's open cursor. */
    void fetch(ClientStatement statement, long rows) {
        StatementCursor cursor = statement.cursor();
        active = cursor;
        session.enter(SessionState.Event.STREAM_STARTED);
        cursor.fetch(rows);
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

    private void ended(ReadStatus state, OptionalInt errorSequence) {
        if (state == ReadStatus.EXPIRED && !replies.channel().isWritable()) {
            // An error packet would wait behind rows that the client does not read.
            replies.close();
        } else if (state == ReadStatus.FAILED) {
            errorSequence.ifPresent(sequence -> replies.sendError(sequence, Failure.brokenOff()));
        } else if (state == ReadStatus.EXPIRED) {
            errorSequence.ifPresent(sequence -> replies.sendError(sequence, Failure.leaseExpired()));
        }
        active = null;
        session.commandStepEnded(SessionState.Event.STREAM_ENDED);
    }
}
