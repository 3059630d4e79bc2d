package lineward.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import lineward.scheduling.EndpointState;

/**
 * Assigns the numbers that identify engines to the scheduler. The number of an engine is a hash of its id, so
 * that all front ends compute the same one; slow start derives from it when each front end may use a warming
 * engine. An engine is known while it is listed or under maintenance. The numbers of engines that are no
 * longer known are removed: a restarted engine gets a new id, so the maps would otherwise grow without limit.
 * Called by the coordinator, on the event loop.
 */
final class EngineRegistry {
    // Parameters of the 64-bit FNV-1a hash, which is computed over the characters of the id.
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;
    /** Low bits of the hash that are dropped, as the simulator's protocol encodes a number in six bytes. */
    private static final int DISCARDED_HASH_BITS = 16;

    private final Map<String, Long> numbersById = new HashMap<>();
    private final Map<Long, String> idsByNumber = new HashMap<>();
    private final Set<String> listedIds = new HashSet<>();
    private final Set<String> idsUnderMaintenance = new HashSet<>();

    /** Returns the number of an engine; assigns one if the engine has none. */
    long findOrAssignNumber(String id) {
        return numbersById.computeIfAbsent(id, this::assignNumber);
    }

    private long assignNumber(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        long number = hash >>> DISCARDED_HASH_BITS;
        while (idsByNumber.putIfAbsent(number, id) != null) {
            number++;
        }
        return number;
    }

    /** Returns the number of an engine; empty if none is assigned. */
    OptionalLong findNumber(String id) {
        Long number = numbersById.get(id);
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /** Returns the id of the engine with this number; null if there is none. */
    String idOf(long number) {
        return idsByNumber.get(number);
    }

    /** Applies a full snapshot of the endpoint list, or an incremental update. */
    void update(boolean fullSnapshot, List<EngineEndpoint> endpoints) {
        if (fullSnapshot) {
            listedIds.clear();
        }
        for (EngineEndpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.GONE) {
                listedIds.remove(endpoint.id());
            } else {
                listedIds.add(endpoint.id());
            }
        }
        removeUnknown();
    }

    void setMaintenance(String id, boolean isUnderMaintenance) {
        if (isUnderMaintenance) {
            idsUnderMaintenance.add(id);
        } else {
            idsUnderMaintenance.remove(id);
            removeUnknown();
        }
    }

    /** Returns whether the engine is listed or under maintenance. */
    boolean hasEngine(String id) {
        return listedIds.contains(id) || idsUnderMaintenance.contains(id);
    }

    int listedCount() {
        return listedIds.size();
    }

    private void removeUnknown() {
        numbersById.keySet().removeIf(id -> !hasEngine(id));
        idsByNumber.values().removeIf(id -> !hasEngine(id));
    }
}
