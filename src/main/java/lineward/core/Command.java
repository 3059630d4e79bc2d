package lineward.core;

/**
 * What a coordinator asks of a forwarder.
 *
 * @param <X> the protocol's own record of a request
 */
public sealed interface Command<X> {
    /** Hands this command to the method of the forwarder that takes its type. */
    void executeBy(Forwarder<X> forwarder);

    /**
     * Start an attempt and report its end to {@link Coordinator#attemptEnded}.
     *
     * @param timeoutMs how long the attempt may take
     * @param startWithinMs later than this it must not reach the engine any more, and counts as never run
     * @param grantMb memory to grant; 0 leaves it to the engine
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

    /** Cancel an attempt; the coordinator itself books its end. */
    record CancelAttempt<X>(X exchange, long request, int attempt, String engine) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.cancelAttempt(this);
        }
    }

    /** Give an attempt in flight a new priority. */
    record ChangePriority<X>(X exchange, long request, int attempt, String engine, int priority /* 0 to 3 */)
            implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.changePriority(this);
        }
    }

    /** Check an engine's health; its answer goes to {@link Coordinator#healthCheckCompleted}. */
    record CheckHealth<X>(String engine) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.checkHealth(this);
        }
    }

    /** Send these bytes to every other front end of the tier; they may be lost. */
    @SuppressWarnings("ArrayRecordComponent") // handed on once, never compared
    record BroadcastGossip<X>(byte[] payload) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.broadcastGossip(this);
        }
    }

    /** Final answer: rejected, harmless to retry after the time given (0: no advice). */
    record Reject<X>(X exchange, long retryAfterMs) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.reject(this);
        }
    }

    /** Final answer: failed. */
    record Fail<X>(X exchange) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.fail(this);
        }
    }
}
