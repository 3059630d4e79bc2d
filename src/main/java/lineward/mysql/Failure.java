package lineward.mysql;

/**
 * The content of an error packet, and one factory method for each error that is not an engine's.
 *
 * @param code MySQL's error number
 * @param state SQLSTATE, five characters
 * @param message for people
 */
record Failure(int code, String state, String message) {
    /** The final answer to a statement that was rejected: nothing was changed, and a retry is safe. */
    static Failure rejected(long retryAfterMs) {
        return new Failure(
                1637,
                "HY000",
                "refused: nothing was changed, trying again is harmless"
                        + (retryAfterMs > 0 ? "; come back in " + retryAfterMs + " ms" : ""));
    }

    /** The final answer to a statement that may have run and is not known to have ended. */
    static Failure failed() {
        return new Failure(1317, "70100", "failed: no whole answer came from the engine, it may have run");
    }

    /** In the place of a row: the rows before it are not the complete result. */
    static Failure brokenOff() {
        return new Failure(1317, "70100", "failed: the engine broke off amid the rows");
    }

    /** In the place of a row: nobody has read for so long that the remaining rows were released. */
    static Failure lapsed() {
        return new Failure(1317, "70100", "the result was given back, as nobody read it for too long");
    }

    static Failure noCursor(long id) {
        return new Failure(1421, "HY000", "the statement " + id + " has no open cursor");
    }

    /** The same for a key that is unknown, that has expired and that is another user's. */
    static Failure noResult() {
        return new Failure(1210, "HY000", "no result stands under that key");
    }

    static Failure otherResult() {
        return new Failure(1210, "HY000", "the key stands for the result of another statement");
    }

    static Failure goingDown() {
        return new Failure(1053, "08S01", "the server is shutting down");
    }

    static Failure unsupported(String what) {
        return new Failure(1235, "0A000", what + " can't be kept: each statement may run on another engine");
    }

    static Failure notPreparable() {
        return new Failure(1295, "HY000", "USE, SET and SHOW WARNINGS can't be prepared");
    }

    static Failure noTransaction(String what) {
        return new Failure(1179, "25000", what + " is not possible here: every statement commits by itself");
    }

    static Failure unknownCommand() {
        return new Failure(1047, "08S01", "unknown command");
    }

    static Failure unknownStatement(long id) {
        return new Failure(1243, "HY000", "unknown prepared statement " + id);
    }

    static Failure wrongArguments(String why) {
        return new Failure(1210, "HY000", "wrong arguments: " + why);
    }

    static Failure tooLarge(int maxBytes) {
        return new Failure(1153, "08S01", "packet larger than the " + maxBytes + " bytes allowed");
    }

    static Failure tooMany(String what) {
        return new Failure(1461, "42000", "too many " + what);
    }

    static Failure denied(String user) {
        return new Failure(1045, "28000", "access denied for user '" + user + "'");
    }

    static Failure full() {
        return new Failure(1040, "08004", "too many connections");
    }

    static Failure malformedHandshake() {
        return new Failure(1043, "08S01", "bad handshake");
    }
}
