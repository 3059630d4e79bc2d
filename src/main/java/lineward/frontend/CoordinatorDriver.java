package lineward.frontend;

import java.util.OptionalLong;
import java.util.function.DoubleSupplier;
import lineward.core.Coordinator;
import lineward.core.Forwarder;
import lineward.core.GenerationalTable;
import lineward.core.RequestAttributes;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.ProgressKind;

/**
 * Connects a protocol server to its coordinator: passes the current time and requests a tick after each
 * event. Used on the event loop only.
 *
 * @param <X> the protocol's representation of a request
 */
public final class CoordinatorDriver<X> {
    private final Coordinator<X> coordinator;
    private final DoubleSupplier clock;
    private final Runnable tickRequest;

    /**
     * Creates a driver for one coordinator.
     *
     * @param clock monotonic time in milliseconds
     * @param tickRequest schedules a call of {@link #tick}; must not call it directly
     */
    public CoordinatorDriver(Coordinator<X> coordinator, DoubleSupplier clock, Runnable tickRequest) {
        this.coordinator = coordinator;
        this.clock = clock;
        this.tickRequest = tickRequest;
    }

    /** Returns the coordinator. */
    public Coordinator<X> coordinator() {
        return coordinator;
    }

    /** Processes the events since the last tick and executes the resulting commands in order. */
    public void tick(Forwarder<X> forwarder) {
        coordinator.tick(clock.getAsDouble()).forEach(command -> command.executeBy(forwarder));
    }

    /**
     * Admits a request.
     *
     * @return the request's id; empty if the request table is full and the caller must reject the request
     */
    public OptionalLong admit(RequestAttributes attributes, X protocolRequest) {
        long id = coordinator.admit(clock.getAsDouble(), attributes, protocolRequest);
        if (id == GenerationalTable.FULL) {
            return OptionalLong.empty();
        }
        tickRequest.run();
        return OptionalLong.of(id);
    }

    /** Cancels a request whose client no longer needs the answer. */
    public void cancel(long requestId) {
        coordinator.cancelRequest(requestId);
        tickRequest.run();
    }

    /** Records the end of an attempt; returns whether the caller must send its result to the client. */
    public boolean attemptEnded(long requestId, int attemptNumber, AttemptOutcome outcome) {
        boolean served = coordinator.attemptEnded(requestId, attemptNumber, outcome);
        tickRequest.run();
        return served;
    }

    /** Records an engine's progress report on an attempt. */
    public void attemptProgressed(long requestId, int attemptNumber, ProgressKind kind, double amount) {
        coordinator.attemptProgressed(requestId, attemptNumber, kind, amount);
        tickRequest.run();
    }

    /** Records the result of the health check with this number. */
    public void healthCheckCompleted(String engineId, long check, AttemptOutcome outcome, double[] load) {
        coordinator.healthCheckCompleted(clock.getAsDouble(), engineId, check, outcome, load);
        tickRequest.run();
    }

    /**
     * Starts or ends the maintenance of an engine.
     *
     * @param sinceMs when the operator requested the change, in Unix milliseconds
     */
    public void setMaintenance(String engineId, boolean underMaintenance, double sinceMs) {
        coordinator.setMaintenance(engineId, underMaintenance, sinceMs);
        tickRequest.run();
    }

    /**
     * Limits the deadline of requests that are admitted from now on.
     *
     * @param deadlineMs time from now to the shutdown deadline
     */
    public void setShutdownDeadline(int deadlineMs) {
        coordinator.setShutdownDeadline(clock.getAsDouble() + deadlineMs);
    }

    /** Fails all open requests; their clients are told at the next tick. */
    public void failOpenRequests() {
        coordinator.failOpenRequests();
        tickRequest.run();
    }

    /** Returns the number of admitted requests that are not completed. */
    public int openRequestCount() {
        return coordinator.openRequestCount();
    }
}
