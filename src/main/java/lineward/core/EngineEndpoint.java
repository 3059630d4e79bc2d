package lineward.core;

import lineward.scheduling.Endpoint;
import lineward.scheduling.EndpointState;

/**
 * An entry of the endpoint list of service discovery. Immutable.
 *
 * @param id name of the engine, the same at every front end
 * @param address address on which the engine listens, as {@code host:port}
 * @param kind index of the engine's hardware type in the settings
 * @param weight weight relative to the other engines
 * @param startedAtMs start of the engine's process in Unix milliseconds, or {@link Endpoint#STARTED_LONG_AGO}
 * @param zone index of the engine's zone in the settings
 * @param cell index of the engine's cell; the engines of a cell share idempotency keys
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

    /** @param number number that identifies the engine to the scheduler */
    Endpoint toEndpoint(long number) {
        return new Endpoint(number, kind, weight, startedAtMs, state, zone, cell);
    }
}
