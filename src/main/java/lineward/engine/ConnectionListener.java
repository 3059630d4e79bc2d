package lineward.engine;

import java.util.List;

/** Is notified of what happens to a connection. */
interface ConnectionListener {
    /** The connection is of no more use. */
    void closed(EngineConnection connection);

    /** A request has been sent to its last byte. */
    void requestSent();

    /** The connection has come up. */
    void connected(EngineConnection connection);

    /** The engine has sent a reply. */
    void replyReceived();

    /** The connection broke under attempts whose requests were written: the listener ends them. */
    void attemptsLost(List<QueryAttempt> attempts);

    /** No connection came up for these attempts: the listener ends them or starts them elsewhere. */
    void attemptsNotSent(List<QueryAttempt> attempts, Throwable cause);
}
