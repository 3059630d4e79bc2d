package lineward.discovery;

import java.util.EnumSet;
import java.util.Set;

/**
 * One connection to service discovery as {@link PollPolicy} sees it. Times are milliseconds of a monotonic
 * clock.
 */
final class PollConnection {
    /** Limit on the time to connect, above the connect timeout of {@link PollTransport}. */
    static final double CONNECT_LIMIT_MS = 600;
    /** Limit on the time to a complete response; partial responses do not extend it. */
    static final double RESPONSE_LIMIT_MS = PollPolicy.LONG_POLL_TIMEOUT_MS + 700;

    /** What the connection waits for, with the limit on the wait. */
    enum State {
        /** The end of connecting. */
        CONNECTING(CONNECT_LIMIT_MS),
        /** The response to the last poll. */
        POLLING(RESPONSE_LIMIT_MS),
        /** The end of a pause before the next poll. */
        PAUSED(PollPolicy.NEVER);

        private final double limitMs;

        State(double limitMs) {
            this.limitMs = limitMs;
        }

        /** Returns the states that may follow; an unsolicited response may repeat the last two. */
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
    /** {@link PollPolicy#NEVER} before the first pause. */
    private double resumeAtMs = PollPolicy.NEVER;

    /** Creates a connection that is being opened. */
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

    /** Returns when connecting started or, once the connection is open, when the last poll was sent. */
    double waitingSinceMs() {
        return waitingSinceMs;
    }

    /** A poll is sent now. */
    void poll(double nowMs) {
        transitionTo(State.POLLING);
        waitingSinceMs = nowMs;
    }

    /** The next poll is delayed. */
    void pause(double untilMs) {
        transitionTo(State.PAUSED);
        resumeAtMs = untilMs;
    }

    /** Returns whether a pause has ended. */
    boolean isResumeDue(double nowMs) {
        return state == State.PAUSED && resumeAtMs <= nowMs;
    }

    /** Returns whether the connection has waited longer than its limit. */
    boolean isOverdue(double nowMs) {
        return nowMs - waitingSinceMs > state.limitMs;
    }

    private void transitionTo(State next) {
        if (!state.successors().contains(next)) {
            throw new IllegalStateException("connection " + number + ": from " + state + " to " + next);
        }
        state = next;
    }
}
