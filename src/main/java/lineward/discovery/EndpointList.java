package lineward.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lineward.core.EngineEndpoint;
import lineward.scheduling.EndpointState;

/** The list of engines as the journal's events have made it: keeps the last entry of each and its place. */
public final class EndpointList {
    /** Hears of the whole list, or of what has changed. */
    @FunctionalInterface
    public interface Listener {
        /** @param whole whether what is missing is gone */
        void changed(boolean whole, List<EngineEndpoint> entries);
    }

    private final List<String> kinds;
    private final List<String> zones;
    private final Listener listener;
    private final Map<String, ObjectNode> known = new HashMap<>();
    private long position;

    /**
     * @param kinds names of machine kinds, in the order of the settings
     * @param zones names of zones, in the order of the settings
     */
    public EndpointList(List<String> kinds, List<String> zones, Listener listener) {
        this.kinds = kinds;
        this.zones = zones;
        this.listener = listener;
    }

    /** Returns the number of the last event taken in. */
    public long position() {
        return position;
    }

    /**
     * Takes in what the journal answered; events seen before are passed over.
     *
     * @throws IllegalArgumentException if it is not what the journal's form allows; nothing of the event at
     *     fault is taken in
     */
    public void apply(JsonNode answer) {
        JsonNode entries = answer.path("entries");
        if (!entries.isArray() || !answer.path("pos").isIntegralNumber()) {
            throw new IllegalArgumentException("journal: no pos or entries");
        }
        for (JsonNode event : entries) {
            long pos = event.path("pos").asLong(-1);
            if (pos < 0) {
                throw new IllegalArgumentException("journal: event without a number");
            }
            if (pos > position) {
                if (event.has("hosts")) {
                    applyHosts(event.get("hosts"));
                }
                position = pos;
            }
        }
    }

    private void applyHosts(JsonNode hosts) {
        boolean whole = hosts.path("reset").asBoolean(known.isEmpty());
        Map<String, ObjectNode> merged = new HashMap<>(whole ? Map.of() : known);
        List<EngineEndpoint> changed = new ArrayList<>();
        for (JsonNode instance : hosts.path("instances")) {
            String id = instance.path("instanceId").asText("");
            if (id.isEmpty() || !(instance instanceof ObjectNode entry)) {
                throw new IllegalArgumentException("journal: instance without an id");
            }
            // A change may bring just the fields that differ: the rest stays as last told.
            ObjectNode full = merged.containsKey(id) ? merged.get(id).deepCopy().setAll(entry) : entry;
            EngineEndpoint read = read(id, full);
            changed.add(read);
            merged.put(id, full);
            if (read.state() == EndpointState.GONE) {
                merged.remove(id);
            }
        }
        known.clear();
        known.putAll(merged);
        listener.changed(whole, changed);
    }

    private EngineEndpoint read(String id, JsonNode entry) {
        String address = entry.path("hostPort").asText("");
        if (!address.matches("[^\\s:]+:[0-9]{1,5}")) {
            throw new IllegalArgumentException("journal: address of " + id + " can't be used");
        }
        EndpointState condition = switch (entry.path("lifecycle").asText("")) {
            case "ready" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.GONE;
            default -> throw new IllegalArgumentException("journal: unknown state of " + id);
        };
        return new EngineEndpoint(
                id,
                address,
                Math.max(0, kinds.indexOf(entry.path("machineType").asText())),
                entry.path("weight").asDouble(1),
                entry.path("startedAtMs").asDouble(0),
                condition,
                Math.max(0, zones.indexOf(entry.path("zone").asText())),
                entry.path("cell").asInt(0));
    }
}
