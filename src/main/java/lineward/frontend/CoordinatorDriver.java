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
 * A protocol server's access to its coordinator. It passes the time of the program's clock, and requests a
 * tick after each event. Used on the event loop only.
 *
 * @param <X> the protocol's own record of a request
 */
public final class CoordinatorDriver<X> {
    private final Coordinator<X> coordinator;
    private final DoubleSupplier clock;
    private final Runnable tickRequest;

    /**
     * Creates a driver of one coordinator.
     *
     * @param clock milliseconds, never going back
     * @param tickRequest arranges that {@link #tick} is called soon; it must not call it itself
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

    /** Lets the scheduler decide on the events since the last tick, and executes its commands in order. */
    public void tick(Forwarder<X> forwarder) {
        coordinator.tick(clock.getAsDouble()).forEach(command -> command.executeBy(forwarder));
    }

    /** Admits a request and returns its id; empty if the table is full and the request must be rejected. */
    public OptionalLong admit(RequestAttributes attributes, X exchange) {
        long id = coordinator.admit(clock.getAsDouble(), attributes, exchange);
        if (id == GenerationalTable.FULL) {
            return OptionalLong.empty();
        }
        tickRequest.run();
        return OptionalLong.of(id);
    }

    /** Cancels a request whose client no longer waits for it. */
    public void cancel(long request) {
        coordinator.cancelRequest(request);
        tickRequest.run();
    }

    /** Records the end of an attempt; returns whether its result must be sent to the client. */
    public boolean attemptEnded(long request, int attempt, AttemptOutcome outcome) {
        boolean served = coordinator.attemptEnded(request, attempt, outcome);
        tickRequest.run();
        return served;
    }

    /** Records an engine's progress report on an attempt. */
    public void attemptProgressed(long request, int attempt, ProgressKind kind, double amount) {
        coordinator.attemptProgressed(request, attempt, kind, amount);
        tickRequest.run();
    }

    /** Records an engine's answer to a health check. */
    public void healthCheckCompleted(String engine, AttemptOutcome outcome, double[] loadReport) {
        coordinator.healthCheckCompleted(clock.getAsDouble(), engine, outcome, loadReport);
        tickRequest.run();
    }

    /**
     * Puts an engine under maintenance, or releases it.
     *
     * @param sinceMs when the operator gave the order, in Unix milliseconds
     */
    public void setMaintenance(String engine, boolean underMaintenance, double sinceMs) {
        coordinator.setMaintenance(engine, underMaintenance, sinceMs);
        tickRequest.run();
    }

    /** Bounds the time of requests that are admitted from now on. */
    public void setShutdownDeadline(int deadlineMs) {
        coordinator.setShutdownDeadline(clock.getAsDouble() + deadlineMs);
    }

    /** Answers all open requests as failed at the next tick. */
    public void failOpenRequests() {
        coordinator.failOpenRequests();
        tickRequest.run();
    }

    /** Returns the number of requests without a final answer. */
    public int openRequests() {
        return coordinator.openRequests();
    }
}
