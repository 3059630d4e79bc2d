package lineward.scheduling;

import java.util.List;

/** What the scheduler is notified of. */
public sealed interface SchedulerEvent {

    /** Hands this event to the method of the handler that takes its type. */
    void dispatchTo(Handler handler);

    /** Takes the events apart: one method for each type. */
    interface Handler {
        /** Endpoints have changed. */
        void endpointsChanged(EndpointsChanged event);

        /** A call to service discovery has failed. */
        void discoveryFailed(DiscoveryFailed event);

        /** An engine was taken out for maintenance, or released. */
        void maintenanceChanged(MaintenanceChanged event);

        /** This process's part of the front end's work has changed. */
        void quotaChanged(QuotaChanged event);

        /** A request was admitted by the front end. */
        void requestArrived(RequestArrived event);

        /** A response has begun to reach its client. */
        void responseStarted(ResponseStarted event);

        /** An attempt in flight has reported its progress. */
        void attemptProgressed(AttemptProgress event);

        /** An attempt has ended. */
        void attemptEnded(AttemptEnded event);

        /** The client of a request has gone. */
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
     * @param fullSnapshot whether engines missing here are gone; else these are incremental updates
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
     * An operator takes an engine out, whatever service discovery says, or releases it. The engine need not
     * be listed.
     *
     * @param sinceMs when the operator said so
     */
    record MaintenanceChanged(long engine, boolean underMaintenance, double sinceMs /* Unix time */)
            implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.maintenanceChanged(this);
        }
    }

    /**
     * The part of this front end's quota that falls to this process.
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
     * @param requestClass its class's index in the settings
     * @param key requests of one key may have to run in order; 0: none
     * @param timeLeftMs how long the client still waits
     * @param estimatedWorkMs estimated work of all its threads; 0: not known
     * @param estimatedMemoryMb estimated memory; 0: not known
     * @param tableGroup the group of tables that it uses
     * @param clientRetry whether the client marks it as its retry
     * @param tenant its tenant's index in the settings
     */
    record RequestArrived(
            long request,
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

    /** The response of an attempt has begun to reach the client, to whom it belongs from now on. */
    record ResponseStarted(long request, int attempt) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.responseStarted(this);
        }
    }

    /**
     * An engine has reported on an attempt in flight.
     *
     * @param amount the ratio that is done, or the megabytes that are missing
     */
    record AttemptProgress(long request, int attempt, ProgressKind kind, double amount /* by its kind */)
            implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.attemptProgressed(this);
        }
    }

    /**
     * An attempt has ended.
     *
     * @param requestCompleted whether the request has had its final answer
     * @param workMs the work that it took; 0: not reported
     * @param memoryMb the memory that it needed; 0: not reported
     * @param loadReport the engine's load report, empty if none came with it
     */
    @SuppressWarnings("ArrayRecordComponent") // handed on once, never compared
    record AttemptEnded(
            long request,
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

    /** The client of a request has gone, so it needs no answer. */
    record RequestCancelled(long request) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.requestCancelled(this);
        }
    }

    /** A health check has completed; the load report is empty if none came with it. */
    @SuppressWarnings("ArrayRecordComponent") // handed on once, never compared
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

    /** Gossip of another front end, which may be late or no longer run. */
    @SuppressWarnings("ArrayRecordComponent") // handed on once, never compared
    record GossipReceived(int sender, byte[] payload) implements SchedulerEvent {
        @Override
        public void dispatchTo(Handler handler) {
            handler.gossipReceived(this);
        }
    }
}
