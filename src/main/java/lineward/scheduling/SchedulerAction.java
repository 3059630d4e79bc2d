package lineward.scheduling;

/** An action that the scheduler asks its caller to carry out. */
public sealed interface SchedulerAction {

    /** Calls the handler's method for the type of this action. */
    void dispatchTo(Handler handler);

    /** Visitor of actions, with one method for each type. */
    interface Handler {
        /** Start an attempt. */
        void startAttempt(StartAttempt action);

        /** Cancel an attempt. */
        void cancelAttempt(CancelAttempt action);

        /** Answer a request as rejected. */
        void reject(Reject action);

        /** Answer a request as failed. */
        void fail(Fail action);

        /** Set the memory grant and the priority of a request. */
        void setResourceLimits(SetResourceLimits action);

        /** Check an engine's health. */
        void startHealthCheck(StartHealthCheck action);

        /** Send gossip to all other front ends. */
        void broadcastGossip(BroadcastGossip action);

        /** Schedule a timer event. */
        void scheduleTimer(ScheduleTimer action);

        /** Subscribe to endpoint changes. */
        void watchEndpoints(WatchEndpoints action);

        /** Write a line to the log. */
        void log(LogMessage action);
    }

    /**
     * Starts an attempt. The attempts of a request are numbered 0, 1, 2 in the order of these actions.
     *
     * @param timeoutMs longest duration; 0: none besides the deadline of the request
     * @param startWithinMs time within which it must reach the engine; sent later, the request might run
     *     twice; {@link #ANY_TIME}: no limit
     */
    record StartAttempt(long requestId, long engine, double timeoutMs /* 0: none */, double startWithinMs)
            implements SchedulerAction {
        /** Value of {@link #startWithinMs} for an attempt that may start at any time. */
        public static final double ANY_TIME = Double.POSITIVE_INFINITY;

        /** Creates an action whose attempt may start at any time. */
        public StartAttempt(long requestId, long engine, double timeoutMs) {
            this(requestId, engine, timeoutMs, ANY_TIME);
        }

        @Override
        public void dispatchTo(Handler handler) {
            handler.startAttempt(this);
        }
    }

    /** Cancels an attempt in flight. */
    record CancelAttempt(long requestId, int attempt) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.cancelAttempt(this);
        }
    }

    /**
     * Answers a request as rejected; a retry by the client is harmless.
     *
     * @param retryAfterMs time after which the client is advised to retry; 0: no advice
     */
    record Reject(long requestId, double retryAfterMs) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.reject(this);
        }
    }

    /** Answers a request as failed; it may have run. */
    record Fail(long requestId) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.fail(this);
        }
    }

    /**
     * Sets the limits of a request's further attempts.
     *
     * @param grantMb memory grant; 0: the engine decides
     * @param priority from 0, the lowest, to 3; it also applies at once to attempts in flight
     */
    record SetResourceLimits(long requestId, double grantMb, int priority) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.setResourceLimits(this);
        }
    }

    /** Checks an engine's health and asks for its load report. */
    record StartHealthCheck(long engine) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.startHealthCheck(this);
        }
    }

    /** Sends a message to every other front end; it may be lost. */
    @SuppressWarnings("ArrayRecordComponent") // passed on once, never compared
    record BroadcastGossip(byte[] payload) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.broadcastGossip(this);
        }
    }

    /** Asks for a {@link SchedulerEvent.TimerFired} with this token after the delay. */
    record ScheduleTimer(double delayMs, int token) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.scheduleTimer(this);
        }
    }

    /** Subscribes to endpoint changes from now on. */
    record WatchEndpoints() implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.watchEndpoints(this);
        }
    }

    /** Writes a line to the log. */
    record LogMessage(String text) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.log(this);
        }
    }
}
