package lineward.mysql.session;

import lineward.mysql.wire.ReplyStream;

/** The open cursor of a prepared statement. */
public interface StatementCursor extends ReplyStream {
    /** Returns whether no fetch may follow, as the last row has been sent or the cursor is closed. */
    boolean isDone();

    /** Sends the next rows, at most this number. */
    void fetch(long rows);
}
