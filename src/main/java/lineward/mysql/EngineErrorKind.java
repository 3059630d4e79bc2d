package lineward.mysql;

import java.util.Set;
import lineward.scheduling.AttemptOutcome;

/** What the number of an engine's error says of the command that it answers. */
enum EngineErrorKind {
    /** The engine is at a limit of its own: the command never ran. */
    OVERLOADED,
    /** The engine shuts down: this is no answer to the command. */
    SHUTTING_DOWN,
    /** The command's own error, which is its answer. */
    COMMAND_FAILED;

    /** ER_CON_COUNT_ERROR, ER_TOO_MANY_USER_CONNECTIONS, ER_USER_LIMIT_REACHED. */
    private static final Set<Integer> OVERLOAD_CODES = Set.of(1040, 1203, 1226);
    /** ER_SERVER_SHUTDOWN, ER_NORMAL_SHUTDOWN, ER_SHUTDOWN_COMPLETE, ER_CONNECTION_KILLED. */
    private static final Set<Integer> SHUTDOWN_CODES = Set.of(1053, 1077, 1079, 1927);

    /** Returns the kind of the error with this number. */
    static EngineErrorKind of(int code) {
        if (OVERLOAD_CODES.contains(code)) {
            return OVERLOADED;
        }
        return SHUTDOWN_CODES.contains(code) ? SHUTTING_DOWN : COMMAND_FAILED;
    }

    /** Returns how an attempt ends whose connection was rejected by such an error at its login. */
    AttemptOutcome outcomeAtLogin() {
        return this == OVERLOADED ? AttemptOutcome.REJECTED : AttemptOutcome.CONNECT_FAILED;
    }
}
