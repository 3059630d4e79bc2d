package lineward.mysql.client;

import lineward.mysql.session.StatementClass;

/** Admits the queries of all clients. */
public interface QueryDispatcher {
    /** Returns the class of a statement. */
    StatementClass classOf(String text, boolean writes);

    /** Admits the query; returns false if it must be rejected. */
    boolean admit(Query query);

    /** Cancels an admitted query whose client has disconnected. */
    void cancel(Query query);

    /** Counts a query that is rejected before its admission because the spool is full. */
    void countRejected(Query query);
}
