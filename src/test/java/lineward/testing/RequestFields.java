package lineward.testing;

/** The wire names of the request fields, and of the field that a rejection carries. */
public final class RequestFields {
    public static final String REQUEST_ID = "call";
    public static final String REQUEST_CLASS = "op";
    public static final String TENANT = "org";
    public static final String TIME_LEFT_MS = "ttl";
    public static final String ESTIMATED_WORK_MS = "work";
    public static final String ESTIMATED_MEMORY_MB = "mem";
    public static final String CLIENT_RETRY = "rep";
    public static final String RETRY_AFTER_MS = "pushback";

    private RequestFields() {}
}
