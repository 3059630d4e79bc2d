package lineward.mysql.session;

import lineward.mysql.wire.ReplyStream;

/** The open cursor of a prepared statement. */
public interface StatementCursor extends ReplyStream {
    /** Returns whether no fetch can follow: the last rows are being sent, or the cursor is closed. */
    boolean isDone();

    /** Sends up to this number of further rows. */
    void fetch(long rows);
}
