package lineward.scheduling;

/**
 * An engine as service discovery lists it.
 *
 * @param engine its number, the same at every front end
 * @param kind index of its {@link EngineKind} in the settings
 * @param weight relative weight in the list
 * @param startedAtMs when its process started; 0: long ago
 * @param zone index of its zone
 * @param cell index of the cell that shares stored idempotency keys
 */
public record Endpoint(
        long engine, int kind, double weight, double startedAtMs, EndpointState state, int zone, int cell) {}
