package lineward.core;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
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

    /** @param number identifies the check, as a result may arrive during a later check of the engine */
    private record Check(long number, double startedAtMs, DeadlineQueue.Entry timeout) {}

    private final Map<Long, Check> inFlight = new HashMap<>();
    private final DeadlineQueue deadlines;
    private final Consumer<SchedulerEvent> resultConsumer;
    private long lastNumber;

    /**
     * Creates a tracker without checks in flight.
     *
     * @param resultConsumer receives an event at the end of each check
     */
    HealthChecks(DeadlineQueue deadlines, Consumer<SchedulerEvent> resultConsumer) {
        this.deadlines = deadlines;
        this.resultConsumer = resultConsumer;
    }

    /** Records the start of a check; returns its number, or empty if one of the engine is in flight. */
    OptionalLong start(long engineNumber, double nowMs) {
        if (inFlight.containsKey(engineNumber)) {
            return OptionalLong.empty();
        }
        lastNumber++;
        long number = lastNumber;
        double expiresAtMs = nowMs + TIMEOUT_MS;
        DeadlineQueue.Entry timeout = deadlines.add(expiresAtMs, atMs -> expire(atMs, engineNumber, number));
        inFlight.put(engineNumber, new Check(number, nowMs, timeout));
        return OptionalLong.of(number);
    }

    private void expire(double nowMs, long engineNumber, long checkNumber) {
        complete(nowMs, engineNumber, checkNumber, AttemptOutcome.TIMEOUT, MISSING_LOAD_REPORT);
    }

    /** Records the end of a check. Does nothing if the check is not in flight any more. */
    void complete(double nowMs, long engineNumber, long checkNumber, AttemptOutcome outcome, double[] load) {
        Check check = inFlight.get(engineNumber);
        if (check != null && check.number() == checkNumber) {
            inFlight.remove(engineNumber);
            deadlines.cancel(check.timeout());
            double latencyMs = nowMs - check.startedAtMs();
            var completed = new SchedulerEvent.HealthCheckCompleted(engineNumber, outcome, latencyMs, load);
            resultConsumer.accept(completed);
        }
    }
}
