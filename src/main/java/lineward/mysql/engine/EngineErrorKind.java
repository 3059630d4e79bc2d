package lineward.mysql.engine;

import java.util.Set;
import lineward.scheduling.AttemptOutcome;

/** The kinds of errors that an engine sends, by what they mean for the command. */
enum EngineErrorKind {
    /** The engine has reached one of its limits and has not executed the command. */
    OVERLOADED,
    /** The engine shuts down or has closed the connection; the error is not the reply to the command. */
    SHUTTING_DOWN,
    /** The command failed; the error is the reply to it. */
    COMMAND_FAILED;

    /** ER_CON_COUNT_ERROR, ER_TOO_MANY_USER_CONNECTIONS, ER_USER_LIMIT_REACHED. */
    private static final Set<Integer> OVERLOAD_CODES = Set.of(1040, 1203, 1226);
    /** ER_SERVER_SHUTDOWN, ER_NORMAL_SHUTDOWN, ER_SHUTDOWN_COMPLETE, ER_CONNECTION_KILLED. */
    private static final Set<Integer> SHUTDOWN_CODES = Set.of(1053, 1077, 1079, 1927);

    /** Returns the kind of the error with this MySQL error number. */
    static EngineErrorKind of(int code) {
        if (OVERLOAD_CODES.contains(code)) {
            return OVERLOADED;
        }
        return SHUTDOWN_CODES.contains(code) ? SHUTTING_DOWN : COMMAND_FAILED;
    }

    /** Returns the outcome of an attempt whose login was rejected with this error. */
    AttemptOutcome outcomeAtLogin() {
        return this == OVERLOADED ? AttemptOutcome.REJECTED : AttemptOutcome.CONNECT_FAILED;
    }
}
