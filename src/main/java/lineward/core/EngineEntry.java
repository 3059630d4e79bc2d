package lineward.core;

import peatwick.Front;

/**
 * An engine as the list has it.
 *
 * @param id its name, which is the same at every front end
 * @param address where it listens, {@code host:port}
 * @param startedAtMs Unix time of a late start; 0: long ago
 */
public record EngineEntry(
        String id,
        String address,
        int kind,
        double weight,
        double startedAtMs,
        Front.Condition condition,
        int zone,
        int cell) {}
