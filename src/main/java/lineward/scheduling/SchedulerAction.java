package lineward.scheduling;

/** What the scheduler asks for. */
public sealed interface SchedulerAction {

    /** Hands this action to the method of the handler that takes its type. */
    void dispatchTo(Handler handler);

    /** Takes the actions apart: one method for each type. */
    interface Handler {
        /** Start an attempt. */
        void startAttempt(StartAttempt action);

        /** Cancel an attempt. */
        void cancelAttempt(CancelAttempt action);

        /** Answer a request as rejected. */
        void reject(Reject action);

        /** Answer a request as failed. */
        void fail(Fail action);

        /** Set memory and priority of a request. */
        void setResourceLimits(SetResourceLimits action);

        /** Check an engine's health. */
        void startHealthCheck(StartHealthCheck action);

        /** Send gossip to all other front ends. */
        void broadcastGossip(BroadcastGossip action);

        /** Set a timer. */
        void scheduleTimer(ScheduleTimer action);

        /** Watch service discovery. */
        void watchEndpoints(WatchEndpoints action);

        /** Write a line to the log. */
        void log(LogMessage action);
    }

    /**
     * Starts an attempt. The attempts of a request are numbered 0, 1, 2 in the order of these actions.
     *
     * @param timeoutMs how long it may take at most; 0: no bound of its own
     * @param startWithinMs later than this it must not reach the engine any more, as it might run twice;
     *     {@link #ANY_TIME}: no limit
     */
    record StartAttempt(long request, long engine, double timeoutMs /* 0: none */, double startWithinMs)
            implements SchedulerAction {
        /** Value of {@link #startWithinMs} for an attempt that may start at any time. */
        public static final double ANY_TIME = Double.POSITIVE_INFINITY;

        /** Creates an attempt that may start at any time. */
        public StartAttempt(long request, long engine, double timeoutMs) {
            this(request, engine, timeoutMs, ANY_TIME);
        }

        @Override
        public void dispatchTo(Handler handler) {
            handler.startAttempt(this);
        }
    }

    /** Cancels an attempt in flight. */
    record CancelAttempt(long request, int attempt) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.cancelAttempt(this);
        }
    }

    /**
     * Final answer: rejected, and a retry is harmless.
     *
     * @param retryAfterMs advice on when to retry; 0: none
     */
    record Reject(long request, double retryAfterMs) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.reject(this);
        }
    }

    /** Final answer: failed; the request may have run. */
    record Fail(long request) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.fail(this);
        }
    }

    /**
     * Sets the limits of a request's further attempts.
     *
     * @param grantMb memory; 0 leaves it to the engine
     * @param priority from 0, the lowest, to 3; it holds at once for attempts in flight
     */
    record SetResourceLimits(long request, double grantMb, int priority) implements SchedulerAction {
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

    /** Sends bytes to every other front end; they may be lost. */
    @SuppressWarnings("ArrayRecordComponent") // handed on once, never compared
    record BroadcastGossip(byte[] payload) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.broadcastGossip(this);
        }
    }

    /** Asks for a {@link SchedulerEvent.TimerFired} with this token. */
    record ScheduleTimer(double delayMs, int token) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.scheduleTimer(this);
        }
    }

    /** Asks for changes of the endpoints from now on. */
    record WatchEndpoints() implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.watchEndpoints(this);
        }
    }

    /** Asks for a line in the log. */
    record LogMessage(String text) implements SchedulerAction {
        @Override
        public void dispatchTo(Handler handler) {
            handler.log(this);
        }
    }
}
