package lineward.mysql.session;

import lineward.mysql.wire.ReplyStream;

/** The open cursor of a prepared statement. */
public interface StatementCursor extends ReplyStream {
    /** Returns whether no rows are left to fetch, or the cursor is closed. */
    boolean isDone();

    /** Starts sending up to this number of further rows. */
    void fetch(long rows);
}
