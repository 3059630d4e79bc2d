package lineward.engine;

import java.util.function.Consumer;

/**
 * A health check in flight on a connection. Immutable.
 *
 * @param tag the id that the answer must have
 * @param listener receives the answer, on the event loop
 */
record HealthCheck(Kind kind, String tag, Consumer<Reply> listener) {
    /** Kinds of health checks. */
    enum Kind {
        /** Checks whether the engine is healthy. */
        PING(LineProtocol.PING),
        /** Checks whether the engine is healthy, and requests a load report. */
        LOAD_REPORT(LineProtocol.LOAD_REPORT);

        private final String token;

        Kind(String token) {
            this.token = token;
        }

        /** Returns the request's token in the line protocol. */
        String token() {
            return token;
        }
    }

    /** Returns whether the reply is the answer to this check. */
    boolean isAnsweredBy(Reply reply) {
        boolean isAnswer = reply.type() == ReplyType.HEALTHY || reply.type() == ReplyType.UNHEALTHY;
        return isAnswer && reply.id().equals(tag);
    }
}
