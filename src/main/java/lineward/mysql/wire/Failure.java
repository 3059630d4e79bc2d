package lineward.mysql.wire;

/**
 * The content of an error packet, with one factory method for each error that the front end itself reports.
 *
 * @param code MySQL's error number
 * @param state five-character SQLSTATE
 * @param message the text for the user
 */
public record Failure(int code, String state, String message) {
    /** Value of the delay before a retry if none is suggested. */
    public static final long NO_RETRY_AFTER_MS = 0;

    private Failure(ErrorCode error, String message) {
        this(error.code(), error.sqlState(), message);
    }

    /**
     * A statement was rejected and has changed nothing; a retry is safe.
     *
     * @param retryAfterMs delay after which the client should retry, or {@link #NO_RETRY_AFTER_MS}
     */
    public static Failure rejected(long retryAfterMs) {
        return new Failure(
                ErrorCode.TOO_MANY_CONCURRENT_TRANSACTIONS,
                "refused: nothing was changed, trying again is harmless"
                        + (retryAfterMs > NO_RETRY_AFTER_MS ? "; come back in " + retryAfterMs + " ms" : ""));
    }

    /** No engine sent a complete reply; the statement may have run, and its outcome is unknown. */
    public static Failure failed() {
        return new Failure(
                ErrorCode.QUERY_INTERRUPTED, "failed: no whole answer came from the engine, it may have run");
    }

    /** The attempt failed after the client had received some rows, so that its result is incomplete. */
    public static Failure brokenOff() {
        return new Failure(ErrorCode.QUERY_INTERRUPTED, "failed: the engine broke off amid the rows");
    }

    /** The client's lease on the result expired, and the spool released the rows that it had not read. */
    public static Failure leaseExpired() {
        String message = "the result was given back, as nobody read it for too long";
        return new Failure(ErrorCode.QUERY_INTERRUPTED, message);
    }

    /** A COM_STMT_FETCH names a statement without an open cursor. */
    public static Failure noCursor(long id) {
        return new Failure(ErrorCode.NO_OPEN_CURSOR, "the statement " + id + " has no open cursor");
    }

    /** No complete result has this key. The error is the same for an expired key and another user's key. */
    public static Failure noResult() {
        return new Failure(ErrorCode.WRONG_ARGUMENTS, "no result stands under that key");
    }

    /** The key names the result of another statement. */
    public static Failure otherResult() {
        return new Failure(ErrorCode.WRONG_ARGUMENTS, "the key stands for the result of another statement");
    }

    /** The front end is shutting down. */
    public static Failure shuttingDown() {
        return new Failure(ErrorCode.SERVER_SHUTDOWN, "the server is shutting down");
    }

    /** The statement needs session state that only one engine would have. */
    public static Failure unsupported(String what) {
        String message = what + " can't be kept: each statement may run on another engine";
        return new Failure(ErrorCode.NOT_SUPPORTED_YET, message);
    }

    /** The front end executes this statement itself, and does not support its preparation. */
    public static Failure notPreparable() {
        String message = "USE, SET and SHOW WARNINGS can't be prepared";
        return new Failure(ErrorCode.UNSUPPORTED_PREPARED_STATEMENT, message);
    }

    /** The statement opens a transaction or continues one. */
    public static Failure noTransaction(String what) {
        String message = what + " is not possible here: every statement commits by itself";
        return new Failure(ErrorCode.FORBIDDEN_IN_TRANSACTION, message);
    }

    /** The command is not in {@link Commands}. */
    public static Failure unknownCommand() {
        return new Failure(ErrorCode.UNKNOWN_COMMAND, "unknown command");
    }

    /** The client has no prepared statement with this id. */
    public static Failure unknownStatement(long id) {
        return new Failure(ErrorCode.UNKNOWN_STATEMENT, "unknown prepared statement " + id);
    }

    /** The arguments of a command are malformed. */
    public static Failure wrongArguments(String why) {
        return new Failure(ErrorCode.WRONG_ARGUMENTS, "wrong arguments: " + why);
    }

    /** A packet exceeds the configured limit. */
    public static Failure tooLarge(int maxBytes) {
        String message = "packet larger than the " + maxBytes + " bytes allowed";
        return new Failure(ErrorCode.PACKET_TOO_LARGE, message);
    }

    /**
     * A limit on the number or the total size of objects is reached.
     *
     * @param what the objects, in the plural
     */
    public static Failure tooMany(String what) {
        return new Failure(ErrorCode.TOO_MANY_STATEMENTS, "too many " + what);
    }

    /** The user does not exist, or the password is wrong. */
    public static Failure accessDenied(String user) {
        return new Failure(ErrorCode.ACCESS_DENIED, "access denied for user '" + user + "'");
    }

    /** The limit on client connections is reached. */
    public static Failure tooManyConnections() {
        return new Failure(ErrorCode.TOO_MANY_CONNECTIONS, "too many connections");
    }

    /** The login packet is malformed. */
    public static Failure malformedHandshake() {
        return new Failure(ErrorCode.HANDSHAKE_ERROR, "bad handshake");
    }
}
