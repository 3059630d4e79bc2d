package lineward.mysql.engine;

import java.util.EnumSet;
import java.util.Set;
import lineward.scheduling.AttemptOutcome;

/** The state of a connection to a MySQL engine, and the transitions between its states. */
enum MysqlConnectionState {
    /** The TCP connection is opening. */
    CONNECTING,
    /** The login is in progress. */
    AUTHENTICATING,
    /** Logged in; no attempt is assigned. */
    IDLE,
    /** The attempt's session settings are being applied. */
    APPLYING_SETTINGS,
    /** The attempt's schema is being selected. */
    SELECTING_SCHEMA,
    /** The attempt's statement is being prepared. */
    PREPARING,
    /** The attempt's command has been sent, and its reply is not complete. */
    EXECUTING,
    /** A kill of the running statement has been requested; its reply is still expected. */
    KILLING,
    /** The attempt has ended, and the connection is being closed because it must not be reused. */
    CLOSING,
    /** The connection is closed. */
    CLOSED;

    /** An event that changes a connection's state. */
    enum Transition {
        /** The TCP connection is open. */
        CONNECT(AUTHENTICATING),
        /** The engine has accepted the login. */
        AUTHENTICATE(IDLE),
        /** The attempt's settings are sent. */
        APPLY_SETTINGS(APPLYING_SETTINGS),
        /** The attempt's schema is sent. */
        SELECT_SCHEMA(SELECTING_SCHEMA),
        /** The attempt's statement is sent for preparation. */
        PREPARE(PREPARING),
        /** The attempt's command is sent. */
        EXECUTE(EXECUTING),
        /** The attempt is cancelled, so that its running statement is killed. */
        KILL(KILLING),
        /** The attempt has ended, and the connection may be reused. */
        RELEASE(IDLE),
        /** The attempt has ended, and the connection must not be reused. */
        RETIRE(CLOSING),
        /** The connection has been closed by either side, or could not be opened. */
        CLOSE(CLOSED);

        private final MysqlConnectionState target;

        Transition(MysqlConnectionState target) {
            this.target = target;
        }
    }

    /** Returns the transitions that are possible in this state. */
    private Set<Transition> transitions() {
        return switch (this) {
            case CONNECTING -> EnumSet.of(Transition.CONNECT, Transition.CLOSE);
            case AUTHENTICATING -> EnumSet.of(Transition.AUTHENTICATE, Transition.CLOSE);
            case IDLE ->
                EnumSet.of(
                        Transition.APPLY_SETTINGS,
                        Transition.SELECT_SCHEMA,
                        Transition.PREPARE,
                        Transition.EXECUTE,
                        Transition.CLOSE);
            case APPLYING_SETTINGS -> afterSettings();
            case SELECTING_SCHEMA ->
                EnumSet.of(
                        Transition.PREPARE,
                        Transition.EXECUTE,
                        Transition.RELEASE,
                        Transition.RETIRE,
                        Transition.CLOSE);
            case PREPARING -> afterCommand(Transition.EXECUTE);
            case EXECUTING -> afterCommand(Transition.KILL);
            case KILLING -> EnumSet.of(Transition.RETIRE, Transition.CLOSE);
            case CLOSING -> EnumSet.of(Transition.CLOSE);
            case CLOSED -> EnumSet.noneOf(Transition.class);
        };
    }

    private static Set<Transition> afterSettings() {
        Set<Transition> steps = EnumSet.of(Transition.SELECT_SCHEMA, Transition.PREPARE, Transition.EXECUTE);
        steps.add(Transition.RETIRE);
        steps.add(Transition.CLOSE);
        return steps;
    }

    private static Set<Transition> afterCommand(Transition next) {
        return EnumSet.of(next, Transition.RELEASE, Transition.RETIRE, Transition.CLOSE);
    }

    /**
     * Returns the state after the transition.
     *
     * @throws IllegalStateException if the transition is not possible in this state
     */
    MysqlConnectionState after(Transition transition) {
        if (!transitions().contains(transition)) {
            throw new IllegalStateException("transition " + transition + " is not possible in state " + this);
        }
        return transition.target;
    }

    /** Returns whether the engine has accepted the login. */
    boolean isLoggedIn() {
        return this != CONNECTING && this != AUTHENTICATING;
    }

    /** Returns whether the attempt's command has been sent, so that the engine may have executed it. */
    boolean isCommandSent() {
        return this == EXECUTING || this == KILLING;
    }

    /**
     * Returns whether the connection may be reused if its attempt ends in this state: not after a failed SET,
     * which leaves the session's settings unknown, nor after a kill, which may arrive late and stop the next
     * statement.
     */
    boolean isReusable() {
        return this == SELECTING_SCHEMA || this == PREPARING || this == EXECUTING;
    }

    /**
     * Returns the outcome of the attempt if the connection closes in this state. Before the attempt's command
     * has been sent, the engine can't have executed it.
     */
    AttemptOutcome outcomeOnClose() {
        return switch (this) {
            case EXECUTING -> AttemptOutcome.RESET;
            case KILLING -> AttemptOutcome.CANCELLED;
            default -> AttemptOutcome.CONNECT_FAILED;
        };
    }

    /** Returns the outcome of the attempt if the engine violates the protocol or shuts down in this state. */
    AttemptOutcome outcomeOnEngineFailure() {
        return isCommandSent() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED;
    }
}
