package lineward.mysql.client;

import lineward.mysql.session.StatementClass;

/** Classifies and admits the queries of all clients. */
public interface QueryDispatcher {
    /** Returns the class of the statement with this text. */
    StatementClass classOf(String text, boolean writes);

    /** Admits the query if there is capacity for it; returns false if the caller must reject it. */
    boolean admit(Query query);

    /** Records that an admitted query has been answered or cancelled, so that its statement is released. */
    void completed(Query query);

    /** Cancels an admitted query whose client has disconnected. */
    void cancel(Query query);

    /** Counts a query that is rejected before admission because the spool has no capacity for its result. */
    void countRejected(Query query);
}
