package lineward.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import lineward.scheduling.EndpointState;

/**
 * The scheduler's numbers of the engines that are known: listed, or under maintenance. A number is a hash of
 * the id and so the same at every front end, because the front ends take turns at an engine in slow start by
 * its number. Engines restart under new ids, so numbers of engines that are no longer known are removed. The
 * coordinator calls it, on the event loop.
 */
final class EngineNumbers {
    // The hash is FNV-1a.
    private static final long FNV_SEED = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;
    /** The simulator's protocol encodes a number in six bytes. */
    private static final int UNUSED_BITS = 16;

    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, String> ids = new HashMap<>();
    private final Set<String> listed = new HashSet<>();
    private final Set<String> underMaintenance = new HashSet<>();

    /** Returns the engine's number, and assigns one if it has none. */
    long numberOf(String id) {
        return numbers.computeIfAbsent(id, this::freeNumber);
    }

    private long freeNumber(String id) {
        long hash = FNV_SEED;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        long number = hash >>> UNUSED_BITS;
        while (ids.putIfAbsent(number, id) != null) {
            number++;
        }
        return number;
    }

    /** Returns the engine's number; empty if it has none. */
    OptionalLong existingNumber(String id) {
        Long number = numbers.get(id);
        return number == null ? OptionalLong.empty() : OptionalLong.of(number);
    }

    /** Returns the id of the engine with that number; null if there is none. */
    String idOf(long number) {
        return ids.get(number);
    }

    /** Applies a full snapshot of the endpoint list, or an incremental update. */
    void update(boolean fullSnapshot, List<EngineEndpoint> endpoints) {
        if (fullSnapshot) {
            listed.clear();
        }
        for (EngineEndpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.GONE) {
                listed.remove(endpoint.id());
            } else {
                listed.add(endpoint.id());
            }
        }
        removeUnknown();
    }

    void setMaintenance(String id, boolean isUnderMaintenance) {
        if (isUnderMaintenance) {
            underMaintenance.add(id);
        } else {
            underMaintenance.remove(id);
            removeUnknown();
        }
    }

    /** Returns whether the engine is listed or under maintenance. */
    boolean hasEngine(String id) {
        return listed.contains(id) || underMaintenance.contains(id);
    }

    int listedCount() {
        return listed.size();
    }

    private void removeUnknown() {
        numbers.keySet().removeIf(id -> !hasEngine(id));
        ids.values().removeIf(id -> !hasEngine(id));
    }
}
