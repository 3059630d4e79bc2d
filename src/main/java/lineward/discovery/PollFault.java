package lineward.discovery;

/**
 * The reason for which a poll or its connection failed.
 *
 * @param detail text for the log
 */
record PollFault(Kind kind, String detail) {
    /** No complete response was received within the limit. */
    static final PollFault NO_RESPONSE = new PollFault(Kind.NO_RESPONSE, "no response");

    /** The service closed the connection. */
    static final PollFault CONNECTION_CLOSED = new PollFault(Kind.CONNECTION_CLOSED, "connection closed");

    /** The kinds of faults. */
    enum Kind {
        NO_RESPONSE,
        CONNECTION_CLOSED,
        CONNECT_FAILED,
        HTTP_STATUS,
        INVALID_RESPONSE
    }

    /** Returns the fault of a connection that was not established. */
    static PollFault connectFailed(Throwable cause) {
        return new PollFault(Kind.CONNECT_FAILED, cause.toString());
    }

    /** Returns the fault of a response with a status other than 200. */
    static PollFault httpStatus(String status) {
        return new PollFault(Kind.HTTP_STATUS, "status " + status);
    }

    /** Returns the fault of a response that can't be parsed, or of a connection that failed. */
    static PollFault invalidResponse(Throwable cause) {
        return new PollFault(Kind.INVALID_RESPONSE, cause.toString());
    }

    @Override
    public String toString() {
        return detail;
    }
}
