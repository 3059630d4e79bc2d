package lineward.discovery;

import java.util.EnumSet;
import java.util.Set;

/**
 * State of one connection to service discovery, without I/O. Used by {@link PollPolicy}. Times are in
 * milliseconds of a monotonic clock.
 */
final class PollConnection {
    /** Time to connect after which the connection is overdue. */
    static final double CONNECT_LIMIT_MS = 600;
    /** Time to a complete response after which it is overdue; a partial response does not extend it. */
    static final double RESPONSE_LIMIT_MS = PollPolicy.LONG_POLL_TIMEOUT_MS + 700;

    /** What the connection waits for, and the limit on that wait. */
    enum State {
        /** The connection is being established. */
        CONNECTING(CONNECT_LIMIT_MS),
        /** A poll was sent; the connection waits for the response. */
        POLLING(RESPONSE_LIMIT_MS),
        /** The next poll is delayed. */
        PAUSED(PollPolicy.NEVER);

        private final double limitMs;

        State(double limitMs) {
            this.limitMs = limitMs;
        }

        /**
         * Returns the states to which a transition is allowed. {@link #POLLING} may follow itself, as the
         * next poll may be sent as soon as a response is received. {@link #PAUSED} may follow itself, as the
         * service may send a response without a poll.
         */
        Set<State> successors() {
            return switch (this) {
                case CONNECTING -> EnumSet.of(POLLING);
                case POLLING, PAUSED -> EnumSet.of(POLLING, PAUSED);
            };
        }
    }

    private final int number;
    private State state = State.CONNECTING;
    private double waitingSinceMs;
    /** Time at which the pause ends; {@link PollPolicy#NEVER} before the first pause. */
    private double resumeAtMs = PollPolicy.NEVER;

    /** Creates a connection in the state {@link State#CONNECTING}. */
    PollConnection(int number, double nowMs) {
        this.number = number;
        waitingSinceMs = nowMs;
    }

    /** Returns the number that identifies the connection. */
    int number() {
        return number;
    }

    /** Returns what the connection waits for. */
    State state() {
        return state;
    }

    /** Returns the time of the last poll, or that of the connect if no poll was sent yet. */
    double waitingSinceMs() {
        return waitingSinceMs;
    }

    /** Returns the time of the next poll if the connection is paused; else {@link #waitingSinceMs}. */
    double latestPollMs() {
        return state == State.PAUSED ? resumeAtMs : waitingSinceMs;
    }

    /** Records that a poll is sent. */
    void recordPoll(double nowMs) {
        transitionTo(State.POLLING);
        waitingSinceMs = nowMs;
    }

    /** Delays the next poll until the given time. */
    void pause(double untilMs) {
        transitionTo(State.PAUSED);
        resumeAtMs = untilMs;
    }

    /** Returns whether the connection is paused and the pause has ended. */
    boolean isResumeDue(double nowMs) {
        return state == State.PAUSED && resumeAtMs <= nowMs;
    }

    /** Returns whether the connection has waited longer than its limit. */
    boolean isOverdue(double nowMs) {
        return nowMs - waitingSinceMs > state.limitMs;
    }

    private void transitionTo(State next) {
        if (!state.successors().contains(next)) {
            String transition = "connection=" + number + " from=" + state + " to=" + next;
            throw new IllegalStateException("invalid poll connection transition: " + transition);
        }
        state = next;
    }
}
