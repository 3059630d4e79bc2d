package lineward.thrift;

/**
 * The constants of the platform's Thrift service: message and value types, methods and field ids. The names
 * of the request fields are in {@link CallField}.
 */
final class ThriftProtocol {
    /** Version of the strict binary protocol, in the upper half of the first word of a message. */
    static final int VERSION = 0x80010000;

    static final int VERSION_MASK = 0xffff0000;
    static final int MESSAGE_TYPE_MASK = 0xff;

    /** Message types. */
    static final int CALL = 1;

    static final int REPLY = 2;
    static final int EXCEPTION = 3;
    static final int ONEWAY = 4;

    /** Value types. */
    static final byte STOP = 0;

    static final byte BOOL = 2;
    static final byte BYTE = 3;
    static final byte DOUBLE = 4;
    static final byte I16 = 6;
    static final byte I32 = 8;
    static final byte I64 = 10;
    static final byte STRING = 11;
    static final byte STRUCT = 12;
    static final byte MAP = 13;
    static final byte SET = 14;
    static final byte LIST = 15;

    /** Methods of the service. */
    static final String INVOKE = "invoke";

    static final String PING = "ping";
    static final String ABORT = "abort";

    /** Field ids of the arguments of {@link #INVOKE}. */
    static final int ARGUMENT_FIELDS = 1;

    static final int ARGUMENT_STATEMENT = 2;
    /** Field id of the argument of {@link #ABORT}. */
    static final int ARGUMENT_SEQUENCE_NUMBER = 1;

    /** Field ids of a reply: the result, or one of the declared exceptions. */
    static final int REPLY_SUCCESS = 0;

    static final int REPLY_OVERLOADED = 1;
    static final int REPLY_INTERNAL = 2;

    /** Field ids of the result struct. */
    static final int RESULT_BODY = 1;

    static final int RESULT_FIELDS = 2;
    static final int RESULT_OK = 3;

    /** Field id in the struct of a declared exception: a map of strings. */
    static final int DECLARED_EXCEPTION_FIELDS = 1;
    /** Key in that map for the time in milliseconds after which the client should retry. */
    static final String RETRY_AFTER_FIELD = "pushback";

    /** Field ids of an application exception. */
    static final int EXCEPTION_MESSAGE = 1;

    static final int EXCEPTION_CODE = 2;

    /** Codes of an application exception. */
    static final int UNKNOWN_METHOD = 1;

    static final int PROTOCOL_ERROR = 7;

    /** Values of a boolean request field. */
    static final String FIELD_FALSE = "0";

    static final String FIELD_TRUE = "1";

    private ThriftProtocol() {}
}
