package lineward.core;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lineward.scheduling.EndpointState;

/**
 * The scheduler's numbers of engines, and which engines are known: listed, or under maintenance. A number is
 * the same at every front end, as the turns at a cold engine go by these numbers. Numbers of engines that are
 * no longer known are forgotten: engines come under ever new ids.
 */
final class EngineNumbers {
    /** FNV-1a. */
    private static final long FNV_SEED = 0xcbf29ce484222325L;

    private static final long FNV_PRIME = 0x100000001b3L;
    /** The simulator's protocol has six bytes for a number. */
    private static final int UNUSED_BITS = 16;

    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, String> ids = new HashMap<>();
    private final Set<String> listed = new HashSet<>();
    private final Set<String> underMaintenance = new HashSet<>();

    /** Returns the engine's number, which is given if it has none yet. */
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

    /** Returns the number of an engine that has one, else null. */
    Long existingNumber(String id) {
        return numbers.get(id);
    }

    /** Returns the id of the engine with that number, or null. */
    String idOf(long number) {
        return ids.get(number);
    }

    /** Takes in a full snapshot of the list, or changes to it. */
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
        forgetUnknown();
    }

    void setMaintenance(String id, boolean under) {
        if (under) {
            underMaintenance.add(id);
        } else {
            underMaintenance.remove(id);
            forgetUnknown();
        }
    }

    boolean isKnown(String id) {
        return listed.contains(id) || underMaintenance.contains(id);
    }

    int listedCount() {
        return listed.size();
    }

    private void forgetUnknown() {
        numbers.keySet().removeIf(id -> !isKnown(id));
        ids.values().removeIf(id -> !isKnown(id));
    }
}
