package lineward.mysql.wire;

/** The errors that the front end itself reports, with MySQL's numbers and SQLSTATEs. */
enum ErrorCode {
    /** ER_CON_COUNT_ERROR. */
    TOO_MANY_CONNECTIONS(1040, "08004"),
    /** ER_HANDSHAKE_ERROR. */
    HANDSHAKE_ERROR(1043, "08S01"),
    /** ER_ACCESS_DENIED_ERROR. */
    ACCESS_DENIED(1045, "28000"),
    /** ER_UNKNOWN_COM_ERROR. */
    UNKNOWN_COMMAND(1047, "08S01"),
    /** ER_SERVER_SHUTDOWN. */
    SERVER_SHUTDOWN(1053, "08S01"),
    /** ER_NET_PACKET_TOO_LARGE. */
    PACKET_TOO_LARGE(1153, "08S01"),
    /** ER_CANT_DO_THIS_DURING_AN_TRANSACTION. */
    FORBIDDEN_IN_TRANSACTION(1179, "25000"),
    /** ER_WRONG_ARGUMENTS. */
    WRONG_ARGUMENTS(1210, "HY000"),
    /** ER_NOT_SUPPORTED_YET. */
    NOT_SUPPORTED_YET(1235, "0A000"),
    /** ER_UNKNOWN_STMT_HANDLER. */
    UNKNOWN_STATEMENT(1243, "HY000"),
    /** ER_UNSUPPORTED_PS. */
    UNSUPPORTED_PREPARED_STATEMENT(1295, "HY000"),
    /** ER_QUERY_INTERRUPTED. */
    QUERY_INTERRUPTED(1317, "70100"),
    /** ER_STMT_HAS_NO_OPEN_CURSOR. */
    NO_OPEN_CURSOR(1421, "HY000"),
    /** ER_MAX_PREPARED_STMT_COUNT_REACHED. */
    TOO_MANY_STATEMENTS(1461, "42000"),
    /** ER_TOO_MANY_CONCURRENT_TRXS. */
    TOO_MANY_CONCURRENT_TRANSACTIONS(1637, "HY000");

    private final int code;
    private final String sqlState;

    ErrorCode(int code, String sqlState) {
        this.code = code;
        this.sqlState = sqlState;
    }

    int code() {
        return code;
    }

    /** Returns the five-character SQLSTATE. */
    String sqlState() {
        return sqlState;
    }
}
