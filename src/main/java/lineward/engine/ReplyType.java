package lineward.engine;

import java.util.Arrays;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Types of replies that an engine sends. */
enum ReplyType {
    /** The first page of a result. */
    FIRST_PAGE(LineProtocol.FIRST_PAGE),
    /** A later page of a result. */
    NEXT_PAGE(LineProtocol.NEXT_PAGE),
    /** The engine rejected the query for lack of capacity; the query did not start. */
    REJECTED(LineProtocol.REJECTED),
    /** The engine received the query after its timeout; the query did not start. */
    EXPIRED(LineProtocol.EXPIRED),
    /** The query failed, or the engine no longer has the query or its result. */
    ERROR(LineProtocol.ERROR),
    /** A progress report on a query in flight. */
    PROGRESS(LineProtocol.PROGRESS),
    /** The answer to a heartbeat, or to a health check of a healthy engine. */
    HEALTHY(LineProtocol.HEALTHY),
    /** The answer to a health check of an unhealthy engine. */
    UNHEALTHY(LineProtocol.UNHEALTHY);

    private static final Map<String, ReplyType> BY_TOKEN =
            Arrays.stream(values()).collect(Collectors.toMap(type -> type.token, Function.identity()));

    private final String token;

    ReplyType(String token) {
        this.token = token;
    }

    /**
     * Returns the type with this token in the line protocol.
     *
     * @throws MalformedReplyException if no type has this token
     */
    static ReplyType parse(String token) {
        ReplyType type = BY_TOKEN.get(token);
        if (type == null) {
            throw new MalformedReplyException("unknown reply type");
        }
        return type;
    }
}
