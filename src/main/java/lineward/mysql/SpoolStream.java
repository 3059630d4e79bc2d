package lineward.mysql;

import lineward.spool.ReadState;
import lineward.spool.SpooledResult;

/**
 * Sends one client what it reads from the spool, at the speed at which it reads: results that it names by a
 * key, pages of cursors, and results that are too long to be held in memory. One at a time.
 */
final class SpoolStream {
    private static final SpoolHint NO_HINT = SpoolHint.of("");
    /** Rows that tell {@link OpenCursor} to wait for fetches. */
    private static final int CURSOR_PAGE = -1;

    private final ClientSession session;
    private final MysqlServer server;
    private final ReplyWriter replies;
    private Outflow active;

    SpoolStream(ClientSession session, MysqlServer server, ReplyWriter replies) {
        this.session = session;
        this.server = server;
        this.replies = replies;
    }

    /**
     * Answers a statement that names its result by a key, if the spool has the result or must have it.
     *
     * @param digest of the statement and its arguments
     * @param cursor the statement whose rows are to be fetched; null: they are sent in one reply
     * @return whether the client has been answered, with rows or an error
     */
    boolean answer(SpoolHint hint, String digest, ClientStatement cursor) {
        SpooledResult result = server.spool().find(session.user(), hint.key());
        if (result == null) {
            if (hint.isPart()) {
                replies.sendError(Failure.noResult());
            }
            return hint.isPart();
        }
        if (!result.statement().equals(digest)) {
            replies.sendError(Failure.otherResult());
        } else if (hint.isPart() && !result.isComplete()) {
            replies.sendError(Failure.noResult());
        } else {
            start(result, hint, cursor);
        }
        return true;
    }

    /** Sends the result of the attempt that runs for the query, though it may not be complete. */
    void start(Query query) {
        start(query.spooled, NO_HINT, query.spooling.cursor());
    }

    private void start(SpooledResult result, SpoolHint hint, ClientStatement cursor) {
        if (cursor != null) {
            OpenCursor rows = openCursor(result, hint.from(), CURSOR_PAGE);
            cursor.closeCursor();
            cursor.cursor = rows;
            active = rows;
        } else if (hint.isPart()) {
            active = openCursor(result, hint.from(), hint.rows() < 0 ? Long.MAX_VALUE : hint.rows());
        } else {
            active = new ReplyPump(replies.channel(), result, replies.dialect(), replies::send, this::ended);
        }
        session.enter(SessionState.Event.STREAM_STARTED);
        active.resume();
    }

    private OpenCursor openCursor(SpooledResult result, long firstRow, long pageRows) {
        return new OpenCursor(
                replies.channel(), result, replies.dialect(), firstRow, pageRows, replies::send, this::ended);
    }

    /** Sends the next rows of the cursor that the statement has open. */
    void fetch(ClientStatement statement, long rows) {
        active = statement.cursor;
        session.enter(SessionState.Event.STREAM_STARTED);
        statement.cursor.fetch(rows);
    }

    /** Goes on if the client can take more. */
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

    /** The rows have come to an end, or to a pause between two fetches. */
    private void ended(ReadState ahead, int nextSequence) {
        if (ahead == ReadState.EXPIRED && !replies.channel().isWritable()) {
            replies.close();
        } else if (nextSequence > 0 && ahead == ReadState.BROKEN) {
            replies.sendError(nextSequence, Failure.brokenOff());
        } else if (nextSequence > 0 && ahead == ReadState.EXPIRED) {
            replies.sendError(nextSequence, Failure.lapsed());
        }
        active = null;
        session.commandStepEnded(SessionState.Event.STREAM_ENDED);
    }
}
