package lineward.core;

/**
 * A command from a coordinator to its forwarder. Immutable.
 *
 * @param <X> the protocol's representation of a request
 */
public sealed interface Command<X> {
    /** Calls the forwarder's method for this type of command. */
    void executeBy(Forwarder<X> forwarder);

    /**
     * Starts an attempt. The forwarder reports its end to {@link Coordinator#attemptEnded}.
     *
     * @param engineId id of the engine; null if the engine is no longer known
     * @param timeoutMs maximum duration of the attempt
     * @param startWithinMs time after which the attempt must no longer be sent to the engine, because the
     *     request might then run twice; an attempt that was not sent by then is reported as one that never
     *     ran
     * @param grantMb memory to grant; 0 lets the engine decide
     * @param priority from 0 (lowest) to 3 (highest)
     */
    record StartAttempt<X>(
            X protocolRequest,
            long requestId,
            int attempt,
            String engineId,
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

    /**
     * Cancels an attempt. The forwarder need not report its end, because the coordinator records it after the
     * cancel timeout at the latest.
     */
    record CancelAttempt<X>(X protocolRequest, long requestId, int attemptNumber, String engineId)
            implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.cancelAttempt(this);
        }
    }

    /** Changes the priority of a running attempt. */
    record ChangePriority<X>(
            X protocolRequest, long requestId, int attemptNumber, String engineId, int priority /* 0 to 3 */)
            implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.changePriority(this);
        }
    }

    /**
     * Checks an engine's health. The result goes to {@link Coordinator#healthCheckCompleted}.
     *
     * @param checkNumber identifies the check in its result
     */
    record CheckHealth<X>(String engineId, long checkNumber) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.checkHealth(this);
        }
    }

    /** Sends a gossip message to every other front end of the tier. Delivery is not guaranteed. */
    @SuppressWarnings("ArrayRecordComponent") // read once, never compared
    record BroadcastGossip<X>(byte[] payload) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.broadcastGossip(this);
        }
    }

    /**
     * Tells the client that its request was rejected. The client may safely retry it: either the request has
     * not run, or running it again does no harm.
     *
     * @param retryAfterMs delay after which the client should retry, or {@link #NO_RETRY_AFTER}
     */
    record Reject<X>(X protocolRequest, long retryAfterMs) implements Command<X> {
        /** Value of {@link #retryAfterMs} if the answer suggests no delay. */
        public static final long NO_RETRY_AFTER = 0;

        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.reject(this);
        }
    }

    /** Tells the client that its request failed. The request may have run. */
    record Fail<X>(X protocolRequest) implements Command<X> {
        @Override
        public void executeBy(Forwarder<X> forwarder) {
            forwarder.fail(this);
        }
    }
}
