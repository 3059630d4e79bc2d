package lineward.mysql;

import java.util.EnumSet;
import java.util.Set;
import lineward.scheduling.AttemptOutcome;

/** State of one connection to a MySQL engine, and the transitions between its states. */
enum ConnectionState {
    /** The TCP connection is being opened. */
    CONNECTING,
    /** The login handshake is under way. */
    AUTHENTICATING,
    /** Logged in and without an attempt. */
    IDLE,
    /** The settings that the attempt needs are being set. */
    APPLYING_SETTINGS,
    /** The schema that the attempt needs is being selected. */
    SELECTING_SCHEMA,
    /** The statement that the attempt executes is being prepared. */
    PREPARING,
    /** The attempt's own command has been sent, its reply is awaited or read. */
    EXECUTING,
    /** The running statement is being killed; its reply still comes. */
    KILLING,
    /** The attempt has ended and the connection can't be reused. */
    CLOSING,
    /** The connection is closed. */
    CLOSED;

    /** What moves a connection from one state to another. */
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
        /** The attempt's own command is sent. */
        EXECUTE(EXECUTING),
        /** The running statement is cancelled. */
        KILL(KILLING),
        /** The attempt has ended; the connection serves the next one. */
        RELEASE(IDLE),
        /** The attempt has ended; the connection must not serve another. */
        RETIRE(CLOSING),
        /** The connection has been closed by either side. */
        CLOSE(CLOSED);

        private final ConnectionState target;

        Transition(ConnectionState target) {
            this.target = target;
        }
    }

    /** Returns the transitions that start at this state. */
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
        return EnumSet.of(
                Transition.SELECT_SCHEMA,
                Transition.PREPARE,
                Transition.EXECUTE,
                Transition.RETIRE,
                Transition.CLOSE /* at any time */);
    }

    private static Set<Transition> afterCommand(Transition next) {
        return EnumSet.of(next, Transition.RELEASE, Transition.RETIRE, Transition.CLOSE);
    }

    /**
     * Returns the state behind the transition.
     *
     * @throws IllegalStateException if the transition does not start at this state
     */
    ConnectionState after(Transition transition) {
        if (!transitions().contains(transition)) {
            throw new IllegalStateException("transition " + transition + " from state " + this);
        }
        return transition.target;
    }

    /** Returns whether the engine has accepted the login. */
    boolean isLoggedIn() {
        return this != CONNECTING && this != AUTHENTICATING;
    }

    /** Returns whether the attempt's own command has been sent, so that it may have run. */
    boolean isCommandSent() {
        return this == EXECUTING || this == KILLING;
    }

    /**
     * Returns whether a connection whose attempt ends here may serve another. After settings that failed it
     * is not known which of them hold; a kill may still be on its way and would hit the next statement.
     */
    boolean isReusable() {
        return this == SELECTING_SCHEMA || this == PREPARING || this == EXECUTING;
    }

    /**
     * Returns how the attempt ends if the connection closes in this state. An engine that vanished between
     * prepare and execute has run nothing.
     */
    AttemptOutcome outcomeOfClose() {
        return switch (this) {
            case EXECUTING -> AttemptOutcome.RESET;
            case KILLING -> AttemptOutcome.CANCELLED;
            default -> AttemptOutcome.CONNECT_FAILED;
        };
    }

    /** Returns how the attempt ends if the engine breaks the protocol or shuts down in this state. */
    AttemptOutcome outcomeOfFault() {
        return isCommandSent() ? AttemptOutcome.ERROR : AttemptOutcome.CONNECT_FAILED;
    }
}
