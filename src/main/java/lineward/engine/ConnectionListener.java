package lineward.engine;

import java.util.List;

/** Notified of the events of a connection, on the event loop. */
interface ConnectionListener {
    /** The connection was closed, or is about to be, and accepts no more attempts. */
    void closed(EngineConnection connection);

    /** The last byte of a request was written to the socket. */
    void requestSent();

    /** The connection was established. */
    void connected(EngineConnection connection);

    /** The engine has sent a reply. */
    void replyReceived();

    /** The connection broke after these attempts' requests were written. The listener ends the attempts. */
    void attemptsLost(List<QueryAttempt> attempts);

    /** The connection was not established. The listener ends these attempts or starts them elsewhere. */
    void attemptsNotSent(List<QueryAttempt> attempts, Throwable cause);
}
