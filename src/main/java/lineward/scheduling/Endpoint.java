package lineward.scheduling;

import java.util.OptionalDouble;

/**
 * An engine as service discovery lists it.
 *
 * @param engine the engine's number, the same at every front end
 * @param kind index of its {@link EngineKind} in the settings
 * @param weight weight relative to the other engines; the scheduler does not use it
 * @param startedAtMs when its process started, or {@link #STARTED_LONG_AGO}
 * @param zone index of its zone
 * @param cell index of its cell, a group of engines that share stored idempotency keys
 */
public record Endpoint(
        long engine, int kind, double weight, double startedAtMs, EndpointState state, int zone, int cell) {
    /** Value of {@link #startedAtMs} for a process that was started long ago. */
    public static final double STARTED_LONG_AGO = 0;

    /** Returns when the engine's process started; empty if that was long ago. */
    public OptionalDouble announcedStartMs() {
        return startedAtMs > STARTED_LONG_AGO ? OptionalDouble.of(startedAtMs) : OptionalDouble.empty();
    }
}
