package lineward.engine;

import java.util.function.Consumer;

/**
 * A health check that is out on a connection.
 *
 * @param tag what the answer has to carry in place of an id
 */
record HealthCheck(Kind kind, String tag, Consumer<Reply> listener) {
    /** What the engine is asked for. */
    enum Kind {
        /** Whether it works. */
        PING(LineProtocol.PING),
        /** Whether it works, and a report of its load. */
        LOAD_REPORT(LineProtocol.LOAD_REPORT);

        final String token;

        Kind(String token) {
            this.token = token;
        }
    }

    boolean isAnsweredBy(Reply reply) {
        boolean isAnswer = reply.type() == ReplyType.HEALTHY || reply.type() == ReplyType.UNHEALTHY;
        return isAnswer && reply.id().equals(tag);
    }
}
