package lineward.engine;

/**
 * The tokens of the line protocol. Other code refers to them by these constants, which are named after their
 * meaning.
 */
final class LineProtocol {
    /** Terminates each line, and the body that may follow it. */
    static final String LINE_TERMINATOR = "\r\n";
    /** Placeholder in a reply that has no fields. */
    static final String NO_FIELDS = "-";

    // Requests.
    static final String START_QUERY = "want";
    static final String CANCEL_QUERY = "never_mind";
    static final String CHANGE_PRIORITY = "hurry";
    static final String READ_PAGE = "turn";
    static final String CLOSE_RESULT = "shut";
    static final String PING = "there";
    static final String LOAD_REPORT = "busy";

    // Fields of requests.
    static final String REQUEST_CLASS_FIELD = "sort";
    static final String TIMEOUT_MS_FIELD = "patience";
    static final String MEMORY_MB_FIELD = "pool";
    static final String PRIORITY_FIELD = "band";

    // Replies.
    static final String FIRST_PAGE = "HIT";
    static final String NEXT_PAGE = "PART";
    static final String REJECTED = "SHED";
    static final String EXPIRED = "LATE";
    static final String ERROR = "FAULT";
    static final String PROGRESS = "INFO";
    static final String HEALTHY = "PONG";
    static final String UNHEALTHY = "SICK";

    // Fields of replies.
    static final String PAGE_COUNT_FIELD = "total";
    static final String PAGE_INDEX_FIELD = "index";
    static final String LOAD_FIELD = "l";
    static final String PROGRESS_KIND_FIELD = "n";
    static final String PROGRESS_AMOUNT_FIELD = "datum";

    // Kinds of progress.
    static final String PROGRESS_DONE = "done";
    static final String PROGRESS_SPILLING = "spills";
    static final String PROGRESS_WAITING = "waits";

    private LineProtocol() {}
}
