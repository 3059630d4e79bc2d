package lineward.discovery;

import java.util.EnumSet;
import java.util.Set;

/** One connection to the service as the poll policy sees it. Times are milliseconds of a monotonic clock. */
final class PollConnection {
    /** Limit on the time to connect. The caller's own limit on connecting is shorter. */
    static final double CONNECT_LIMIT_MS = 600;
    /** Limit on the time to a complete response; some bytes now and then don't extend it. */
    static final double RESPONSE_LIMIT_MS = PollPolicy.LONG_POLL_TIMEOUT_MS + 700;

    /** What the connection waits for. */
    enum State {
        /** To be open. */
        CONNECTING(CONNECT_LIMIT_MS),
        /** A response to the poll that was sent. */
        POLLING(RESPONSE_LIMIT_MS),
        /** The end of a pause before the next poll. */
        PAUSED(Double.POSITIVE_INFINITY);

        private final double limitMs;

        State(double limitMs) {
            this.limitMs = limitMs;
        }

        /** Returns the states that may follow; a response may come unasked, so both later ones may repeat. */
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
    private double resumeAtMs = Double.POSITIVE_INFINITY;

    /** Creates a connection that is being opened. */
    PollConnection(int number, double nowMs) {
        this.number = number;
        waitingSinceMs = nowMs;
    }

    /** Returns the number by which the caller knows the connection. */
    int number() {
        return number;
    }

    /** Returns what the connection waits for. */
    State state() {
        return state;
    }

    /** Returns since when the connection opens or, once it is open, when the last poll was sent. */
    double waitingSinceMs() {
        return waitingSinceMs;
    }

    /** A poll is sent now. */
    void poll(double nowMs) {
        transitionTo(State.POLLING);
        waitingSinceMs = nowMs;
    }

    /** The next poll is put off. */
    void pause(double untilMs) {
        transitionTo(State.PAUSED);
        resumeAtMs = untilMs;
    }

    /** Returns whether a pause has ended. */
    boolean isResumeDue(double nowMs) {
        return state == State.PAUSED && resumeAtMs <= nowMs;
    }

    /** Returns whether the connection has waited beyond its limit. */
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
