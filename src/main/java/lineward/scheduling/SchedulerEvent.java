package lineward.scheduling;

import java.util.List;

/** An event that the scheduler is notified of. */
public sealed interface SchedulerEvent {

    /** Calls the handler's method for the type of this event. */
    void dispatchTo(Handler handler);

    /** Visitor of events, with one method for each type. */
    interface Handler {
        /** Endpoints have changed. */
        void endpointsChanged(EndpointsChanged event);

        /** A call to service discovery has failed. */
        void discoveryFailed(DiscoveryFailed event);

        /** An engine was put under maintenance, or released. */
        void maintenanceChanged(MaintenanceChanged event);

        /** The fraction of the front end's quota that this process may use has changed. */
        void quotaChanged(QuotaChanged event);

        /** A request was admitted by the front end. */
        void requestArrived(RequestArrived event);

        /** A response has begun to reach its client. */
        void responseStarted(ResponseStarted event);

        /** An attempt in flight has reported its progress. */
        void attemptProgressed(AttemptProgress event);

        /** An attempt has ended. */
        void attemptEnded(AttemptEnded event);

        /** A request needs no answer any more. */
        void requestCancelled(RequestCancelled event);

        /** A health check has completed. */
        void healthCheckCompleted(HealthCheckCompleted event);

        /** A timer has fired. */
        void timerFired(TimerFired event);

        /** Another front end has sent gossip. */
        void gossipReceived(GossipReceived event);
    }

    /**
     * Service discovery has sent endpoints.
     *
     * @param fullSnapshot whether engines missing here are gone; otherwise this is an incremental update
     */
    record EndpointsChanged(boolean fullSnapshot, List<Endpoint> endpoints) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.endpointsChanged(this);
        }
    }

    /** A call to service discovery has failed; the endpoints known so far stay. */
    record DiscoveryFailed() implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.discoveryFailed(this);
        }
    }

    /**
     * An operator has put an engine under maintenance or released it. This overrides service discovery, and
     * the engine need not be listed.
     *
     * @param sinceMs when the operator gave the order, on the clock of {@link Scheduler#decide}
     */
    record MaintenanceChanged(long engine, boolean underMaintenance, double sinceMs /* Unix time */)
            implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.maintenanceChanged(this);
        }
    }

    /**
     * The fraction of the front end's quota that this process may use has changed.
     *
     * @param ratio 1 when it serves alone, 0.5 while another process serves beside it during a hot restart
     */
    record QuotaChanged(double ratio) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.quotaChanged(this);
        }
    }

    /**
     * A request was admitted.
     *
     * @param requestClass index of its class in the settings
     * @param key its idempotency or ordering key; requests with the same key may have to run in order;
     *     0: none
     * @param timeLeftMs how long the client still waits
     * @param estimatedWorkMs estimated work of all its threads together; 0: not known
     * @param estimatedMemoryMb estimated memory; 0: not known
     * @param tableGroup number of the table group that it uses
     * @param clientRetry whether the client marks it as a retry; not used
     * @param tenant index of its tenant in the settings; not used
     */
    record RequestArrived(
            long requestId,
            int requestClass,
            long key,
            double timeLeftMs,
            double estimatedWorkMs,
            double estimatedMemoryMb,
            int tableGroup,
            boolean clientRetry,
            int tenant)
            implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.requestArrived(this);
        }
    }

    /**
     * The response of an attempt has begun to reach the client. From now on the attempt is not cancelled to
     * be relaunched or migrated.
     */
    record ResponseStarted(long requestId, int attempt) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.responseStarted(this);
        }
    }

    /**
     * An engine has reported on an attempt in flight.
     *
     * @param amount for {@link ProgressKind#RATIO_DONE} the fraction that is done, from 0 to 1; for {@link
     *     ProgressKind#SPILLING} the megabytes that are missing; the scheduler uses only the former
     */
    record AttemptProgress(long requestId, int attempt, ProgressKind kind, double amount /* by its kind */)
            implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.attemptProgressed(this);
        }
    }

    /**
     * An attempt has ended.
     *
     * @param requestCompleted whether the request has its final answer or needs none any more
     * @param workMs the work that it took; 0: not reported
     * @param memoryMb the memory that it needed; 0: not reported
     * @param loadReport the engine's load report; empty if the response had none
     */
    @SuppressWarnings("ArrayRecordComponent") // passed on once, never compared
    record AttemptEnded(
            long requestId,
            int attempt,
            AttemptOutcome outcome,
            boolean requestCompleted,
            double workMs,
            double memoryMb,
            double[] loadReport)
            implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.attemptEnded(this);
        }
    }

    /** A request needs no answer any more, for example because its client has disconnected. */
    record RequestCancelled(long requestId) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.requestCancelled(this);
        }
    }

    /** A health check has completed; the load report is empty if the response had none. */
    @SuppressWarnings("ArrayRecordComponent") // passed on once, never compared
    record HealthCheckCompleted(long engine, AttemptOutcome outcome, double latencyMs, double[] loadReport)
            implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.healthCheckCompleted(this);
        }
    }

    /** A timer that the scheduler asked for has fired. */
    record TimerFired(int token) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.timerFired(this);
        }
    }

    /** Gossip from another front end; it may arrive late, even after the sender has stopped. */
    @SuppressWarnings("ArrayRecordComponent") // passed on once, never compared
    record GossipReceived(int sender, byte[] payload) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.gossipReceived(this);
        }
    }
}
