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
    private static final double[] MISSING_LOAD_REPORT = new double[0];

    private record Check(double startedAtMs, DeadlineQueue.Entry timeout) {}

    private final Map<Long, Check> inFlight = new HashMap<>();
    private final DeadlineQueue deadlines;
    private final Consumer<SchedulerEvent> resultConsumer;

    /**
     * Creates a tracker without checks in flight.
     *
     * @param resultConsumer receives an event at the end of each check
     */
    HealthChecks(DeadlineQueue deadlines, Consumer<SchedulerEvent> resultConsumer) {
        this.deadlines = deadlines;
        this.resultConsumer = resultConsumer;
    }

    /** Records the start of a check; returns false if a check of the engine is already in flight. */
    boolean start(long engineNumber, double nowMs) {
        if (inFlight.containsKey(engineNumber)) {
            return false;
        }
        DeadlineQueue.Entry timeout = deadlines.add(nowMs + TIMEOUT_MS, atMs -> expire(atMs, engineNumber));
        inFlight.put(engineNumber, new Check(nowMs, timeout));
        return true;
    }

    private void expire(double nowMs, long engineNumber) {
        complete(nowMs, engineNumber, AttemptOutcome.TIMEOUT, MISSING_LOAD_REPORT);
    }

    /** Records the end of a check. Does nothing if no check of the engine is in flight. */
    void complete(double nowMs, long engineNumber, AttemptOutcome outcome, double[] loadReport) {
        Check check = inFlight.remove(engineNumber);
        if (check != null) {
            deadlines.cancel(check.timeout());
            double latencyMs = nowMs - check.startedAtMs();
            resultConsumer.accept(
                    new SchedulerEvent.HealthCheckCompleted(engineNumber, outcome, latencyMs, loadReport));
        }
    }
}
