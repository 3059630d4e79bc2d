package lineward.testing;

/** What a {@link TestingEngine} does with requests. */
public enum EngineBehavior {
    SERVE,
    NO_RESPONSE,
    ERROR,
    REJECT,
    /** Resets the connection of each request. */
    RESET,
    MALFORMED_REPLY,
    /** Sends one malformed reply and serves from then on. */
    MALFORMED_REPLY_ONCE,
    /** Answers with the first page and an error for each further one. */
    ERROR_ON_NEXT_PAGE,
    /** Answers neither the request nor later health checks on its connection. */
    UNRESPONSIVE,
    /** Sends each page twice, and a response with an unknown id. */
    DUPLICATE_RESPONSES,
    /** Sends a control character within a row. */
    CONTROL_CHARACTER,
    MISSING_PAGE_COUNT,
    /** Sends less than the announced length of the reply. */
    TRUNCATED_REPLY,
    /** Resets a number of connections and serves from then on. */
    RESET_LIMITED,
    /** Sends progress reports, also unknown ones, and a failed health check before the result. */
    PROGRESS_REPORTS,
    LARGE_RESULT,
    /** Answers that the deadline has passed. */
    EXPIRED,
    /** Resets the connection before it has read the body of the request. */
    RESET_MID_REQUEST,
    CLOSE,
    /** Rejects a request, and rejects it again once its next attempt has come. */
    REJECT_TWICE,
    /** Sends a reply whose end never comes. */
    ENDLESS_REPLY,
    /** Sends the result after the request has been cancelled. */
    RESPOND_AFTER_CANCEL
}
