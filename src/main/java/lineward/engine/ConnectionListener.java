package lineward.engine;

import java.util.List;

/** Is notified of the events of a connection, on the event loop. */
interface ConnectionListener {
    /** The connection is closed, or about to be, and accepts no more attempts. */
    void closed(EngineConnection connection);

    /** The socket has taken the last byte of a request. */
    void requestSent();

    /** The connection is established. */
    void connected(EngineConnection connection);

    /** The engine has sent a reply. */
    void replyReceived();

    /** The connection broke after the requests of these attempts were written. The listener ends them. */
    void attemptsLost(List<QueryAttempt> attempts);

    /** The connection was not established. The listener ends these attempts or starts them elsewhere. */
    void attemptsNotSent(List<QueryAttempt> attempts, Throwable cause);
}
