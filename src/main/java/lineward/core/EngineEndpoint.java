package lineward.core;

import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;

/**
 * An engine as service discovery lists it.
 *
 * @param id its name, which is the same at every front end
 * @param address where it listens, {@code host:port}
 * @param kind index of its kind of machine in the settings
 * @param weight relative weight in the list
 * @param startedAtMs Unix time of a late start; 0: long ago
 * @param zone index of its zone in the settings
 * @param cell index of the cell that shares stored idempotency keys
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

    Endpoint toEndpoint(long number) {
        return new Endpoint(number, kind, weight, startedAtMs, state, zone, cell);
    }
}
