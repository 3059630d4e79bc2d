package lineward.mysql.wire;

/**
 * The content of an error packet, with one factory method for each error that the front end itself reports.
 *
 * @param code MySQL's error number
 * @param sqlState five-character SQLSTATE
 * @param message the text for the user
 */
public record SqlError(int code, String sqlState, String message) {
    /** Value of the delay before a retry if none is suggested. */
    public static final long NO_RETRY_AFTER_MS = 0;

    private SqlError(ErrorCode error, String message) {
        this(error.code(), error.sqlState(), message);
    }

    /**
     * A statement was rejected and has changed nothing; a retry is safe.
     *
     * @param retryAfterMs delay after which the client should retry, or {@link #NO_RETRY_AFTER_MS}
     */
    public static SqlError rejected(long retryAfterMs) {
        return new SqlError(
                ErrorCode.TOO_MANY_CONCURRENT_TRANSACTIONS,
                "refused: nothing was changed, trying again is harmless"
                        + (retryAfterMs > NO_RETRY_AFTER_MS ? "; come back in " + retryAfterMs + " ms" : ""));
    }

    /** No engine sent a complete reply; the statement may have run, and its outcome is unknown. */
    public static SqlError outcomeUnknown() {
        return new SqlError(
                ErrorCode.QUERY_INTERRUPTED, "failed: no whole answer came from the engine, it may have run");
    }

    /** The attempt failed after the client had received some rows, so that its result is incomplete. */
    public static SqlError resultIncomplete() {
        return new SqlError(ErrorCode.QUERY_INTERRUPTED, "failed: the engine broke off amid the rows");
    }

    /** The client's lease on the result expired, and the spool released the rows that it had not read. */
    public static SqlError leaseExpired() {
        String message = "the result was given back, as nobody read it for too long";
        return new SqlError(ErrorCode.QUERY_INTERRUPTED, message);
    }

    /** A COM_STMT_FETCH names a statement without an open cursor. */
    public static SqlError noOpenCursor(long id) {
        return new SqlError(ErrorCode.NO_OPEN_CURSOR, "the statement " + id + " has no open cursor");
    }

    /** No complete result has this key. The error is the same for an expired key and another user's key. */
    public static SqlError unknownKey() {
        return new SqlError(ErrorCode.WRONG_ARGUMENTS, "no result stands under that key");
    }

    /** The key names the result of another statement. */
    public static SqlError keyOfOtherStatement() {
        return new SqlError(ErrorCode.WRONG_ARGUMENTS, "the key stands for the result of another statement");
    }

    /** The front end is shutting down. */
    public static SqlError shuttingDown() {
        return new SqlError(ErrorCode.SERVER_SHUTDOWN, "the server is shutting down");
    }

    /** The statement needs session state that only one engine would have. */
    public static SqlError unsupported(String what) {
        String message = what + " can't be kept: each statement may run on another engine";
        return new SqlError(ErrorCode.NOT_SUPPORTED_YET, message);
    }

    /** The front end executes this statement itself, and does not support its preparation. */
    public static SqlError notPreparable() {
        String message = "USE, SET and SHOW WARNINGS can't be prepared";
        return new SqlError(ErrorCode.UNSUPPORTED_PREPARED_STATEMENT, message);
    }

    /** The statement opens a transaction or continues one. */
    public static SqlError unsupportedTransaction(String what) {
        String message = what + " is not possible here: every statement commits by itself";
        return new SqlError(ErrorCode.FORBIDDEN_IN_TRANSACTION, message);
    }

    /** The command is not in {@link Commands}. */
    public static SqlError unknownCommand() {
        return new SqlError(ErrorCode.UNKNOWN_COMMAND, "unknown command");
    }

    /** The client has no prepared statement with this id. */
    public static SqlError unknownStatement(long id) {
        return new SqlError(ErrorCode.UNKNOWN_STATEMENT, "unknown prepared statement " + id);
    }

    /** The arguments of a command are malformed. */
    public static SqlError wrongArguments(String reason) {
        return new SqlError(ErrorCode.WRONG_ARGUMENTS, "wrong arguments: " + reason);
    }

    /** A packet exceeds the configured limit. */
    public static SqlError packetTooLarge(int maxBytes) {
        String message = "packet larger than the " + maxBytes + " bytes allowed";
        return new SqlError(ErrorCode.PACKET_TOO_LARGE, message);
    }

    /**
     * A limit on the number or the total size of objects is reached.
     *
     * @param what the objects, in the plural
     */
    public static SqlError tooMany(String what) {
        return new SqlError(ErrorCode.TOO_MANY_STATEMENTS, "too many " + what);
    }

    /** The user does not exist, or the password is wrong. */
    public static SqlError accessDenied(String user) {
        return new SqlError(ErrorCode.ACCESS_DENIED, "access denied for user '" + user + "'");
    }

    /** The limit on client connections is reached. */
    public static SqlError tooManyConnections() {
        return new SqlError(ErrorCode.TOO_MANY_CONNECTIONS, "too many connections");
    }

    /** The login packet is malformed. */
    public static SqlError malformedHandshake() {
        return new SqlError(ErrorCode.HANDSHAKE_ERROR, "bad handshake");
    }
}
