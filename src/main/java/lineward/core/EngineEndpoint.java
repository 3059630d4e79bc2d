package lineward.core;

import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;

/**
 * An engine as service discovery lists it. Immutable.
 *
 * @param id its name, the same at every front end
 * @param address where it listens, {@code host:port}
 * @param kind index of its kind of machine in the settings
 * @param weight relative weight in the list
 * @param startedAtMs when its process started, in Unix milliseconds, or {@link Endpoint#STARTED_LONG_AGO}
 * @param zone index of its zone in the settings
 * @param cell index of the cell, whose engines share idempotency keys
 */
public record EngineEndpoint(
        String id,
        String address,
        int kind,
        double weight,
        double startedAtMs,
        EndpointState state,
        int zone,
        int cell) {

    /** @param number the scheduler's number of the engine */
    Endpoint toEndpoint(long number) {
        return new Endpoint(number, kind, weight, startedAtMs, state, zone, cell);
    }
}
