package lineward.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import lineward.scheduling.AttemptOutcome;
import lineward.scheduling.SchedulerEvent;

/**
 * Tracks the health checks in flight: at most one per engine, each with a timeout. Called by the coordinator,
 * on the event loop.
 */
final class HealthChecks {
    private static final double TIMEOUT_MS = 250;
    private static final double[] NO_REPORT = new double[0];

    private record Check(double startedAtMs, DeadlineQueue.Entry timeout) {}

    private final Map<Long, Check> inFlight = new HashMap<>();
    private final DeadlineQueue deadlines;
    private final Consumer<SchedulerEvent> events;

    /**
     * Creates a tracker without checks in flight.
     *
     * @param events receives an event at the end of each check
     */
    HealthChecks(DeadlineQueue deadlines, Consumer<SchedulerEvent> events) {
        this.deadlines = deadlines;
        this.events = events;
    }

    /** Records the start of a check; returns false if a check of the engine is already in flight. */
    boolean start(long engine, double nowMs) {
        if (inFlight.containsKey(engine)) {
            return false;
        }
        DeadlineQueue.Entry timeout = deadlines.add(nowMs + TIMEOUT_MS, atMs -> expire(atMs, engine));
        inFlight.put(engine, new Check(nowMs, timeout));
        return true;
    }

    private void expire(double nowMs, long engine) {
        complete(nowMs, engine, AttemptOutcome.TIMEOUT, NO_REPORT);
    }

    /** Records the end of a check. Does nothing if no check of the engine is in flight. */
    void complete(double nowMs, long engine, AttemptOutcome outcome, double[] loadReport) {
        Check check = inFlight.remove(engine);
        if (check != null) {
            deadlines.cancel(check.timeout());
            double latencyMs = nowMs - check.startedAtMs();
            events.accept(new SchedulerEvent.HealthCheckCompleted(engine, outcome, latencyMs, loadReport));
        }
    }
}
