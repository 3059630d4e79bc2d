package lineward.testing;

/** How a {@link TestingEngine} responds to requests. */
public enum EngineBehavior {
    SERVE,
    /** Responds to pings, but not to requests. */
    NO_RESPONSE,
    ERROR,
    REJECT,
    /** Resets the connection on which a request arrives. */
    RESET,
    MALFORMED_REPLY,
    /** Sends one malformed reply, and serves all later requests. */
    MALFORMED_REPLY_ONCE,
    /** Responds with the first page, and with an error for each further one. */
    ERROR_ON_NEXT_PAGE,
    /** Responds neither to the request nor to later pings on its connection. */
    UNRESPONSIVE,
    /** Sends each page twice, and a response with an unknown id. */
    DUPLICATE_RESPONSES,
    /** Sends a control character within a row. */
    CONTROL_CHARACTER,
    MISSING_PAGE_COUNT,
    /** Sends less than the announced length of the reply, and responds to no later pings. */
    TRUNCATED_REPLY,
    /** Resets a limited number of connections, and serves all later requests. */
    RESET_LIMITED,
    /** Sends valid, unknown and invalid progress reports and a failed health check before the result. */
    PROGRESS_REPORTS,
    LARGE_RESULT,
    /** Responds that the deadline has passed. */
    EXPIRED,
    /** Resets the connection before it has read the body of the request. */
    RESET_MID_REQUEST,
    CLOSE,
    /** Rejects a request, rejects it again when its next attempt arrives, and then serves that attempt. */
    REJECT_TWICE,
    /** Sends a reply that exceeds its announced length, and responds to no later pings. */
    ENDLESS_REPLY,
    /** Sends the result after the request has been cancelled. */
    RESPOND_AFTER_CANCEL
}
