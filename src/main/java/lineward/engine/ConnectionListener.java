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

    /** A reply was received. */
    void replyReceived();

    /** The connection broke after the requests of these attempts were written. The listener ends them. */
    void attemptsLost(List<QueryAttempt> attempts);

    /** Connecting failed. The listener ends these attempts or starts them on another connection. */
    void attemptsNotSent(List<QueryAttempt> attempts, Throwable cause);
}
