package lineward.core;

/**
 * A command of a coordinator to its forwarder. Immutable.
 *
 * @param <X> the protocol's own record of a request
 */
public sealed interface Command<X> {
    /** Calls the method of the forwarder for this type of command. */
    void executeBy(Forwarder<X> forwarder);

    /**
     * Starts an attempt; its end is reported to {@link Coordinator#attemptEnded}.
     *
     * @param engine id of the engine; null if the engine is no longer known
     * @param timeoutMs how long the attempt may take
     * @param startWithinMs time after which it must not be sent any more; it counts as never run then
     * @param grantMb memory to grant; 0 leaves it to the engine
     * @param priority from 0, the lowest, to 3
     */
    record StartAttempt<X>(
            X exchange,
            long request,
            int attempt,
            String engine,
            long timeoutMs,
            long startWithinMs,
            double grantMb,
            int priority)
            implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.startAttempt(this);
        }
    }

    /** Cancels an attempt. The coordinator records the end itself, after the time that a cancel takes. */
    record CancelAttempt<X>(X exchange, long request, int attempt, String engine) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.cancelAttempt(this);
        }
    }

    /** Changes the priority of an attempt in flight. */
    record ChangePriority<X>(X exchange, long request, int attempt, String engine, int priority /* 0 to 3 */)
            implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.changePriority(this);
        }
    }

    /** Checks an engine's health; the answer goes to {@link Coordinator#healthCheckCompleted}. */
    record CheckHealth<X>(String engine) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.checkHealth(this);
        }
    }

    /** Sends bytes to every other front end of the tier; they may be lost. */
    @SuppressWarnings("ArrayRecordComponent") // read once, never compared
    record BroadcastGossip<X>(byte[] payload) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.broadcastGossip(this);
        }
    }

    /**
     * Answers a request as rejected; a retry is harmless.
     *
     * @param retryAfterMs the time after which the client should retry, or {@link #NO_RETRY_AFTER}
     */
    record Reject<X>(X exchange, long retryAfterMs) implements Command<X> {
        /** Value of {@link #retryAfterMs} of an answer without advice on a retry. */
        public static final long NO_RETRY_AFTER = 0;

        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.reject(this);
        }
    }

    /** Answers a request as failed; it may have run. */
    record Fail<X>(X exchange) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.fail(this);
        }
    }
}
