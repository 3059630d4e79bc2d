package lineward.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lineward.core.EngineEndpoint;
import lineward.scheduling.EndpointState;

/**
 * The endpoints listed by service discovery: the last entry of each, merged from full snapshots and
 * incremental updates, and the number of the last event applied. Used on the event loop.
 */
public final class EndpointList {
    /** Notified of full snapshots and incremental updates. */
    @FunctionalInterface
    public interface Listener {
        /**
         * An update was applied to the list.
         *
         * @param fullSnapshot whether engines without an entry are gone
         * @param entries the entries of the update, complete even if the update contains only changed fields
         */
        void changed(boolean fullSnapshot, List<EngineEndpoint> entries);
    }

    private final JournalFormat format;
    private final Listener listener;
    private final Map<String, ObjectNode> entriesById = new HashMap<>();
    private long lastEventNumber;

    /**
     * Creates an empty list.
     *
     * @param engineKinds names of the engine kinds, in the order of the settings
     * @param zones names of the zones, in the order of the settings
     */
    public EndpointList(List<String> engineKinds, List<String> zones, Listener listener) {
        this.format = new JournalFormat(engineKinds, zones);
        this.listener = listener;
    }

    /** Returns the number of the last event applied; 0 before the first. */
    public long lastEventNumber() {
        return lastEventNumber;
    }

    /**
     * Applies the events of a response in order. Events that were applied before are ignored.
     *
     * @throws DiscoveryFormatException if the response or an event is invalid; that event and the later ones
     *     are not applied
     */
    public void apply(JsonNode response) {
        for (JsonNode event : JournalFormat.events(response)) {
            long eventNumber = JournalFormat.eventNumber(event);
            if (eventNumber > lastEventNumber) {
                if (JournalFormat.hasEndpointUpdate(event)) {
                    applyUpdate(JournalFormat.endpointUpdate(event));
                }
                lastEventNumber = eventNumber;
            }
        }
    }

    private void applyUpdate(JsonNode update) {
        boolean fullSnapshot = JournalFormat.isFullSnapshot(update, entriesById.isEmpty());
        Map<String, ObjectNode> merged = new HashMap<>(fullSnapshot ? Map.of() : entriesById);
        List<EngineEndpoint> changedEndpoints = new ArrayList<>();
        for (JsonNode entry : JournalFormat.entries(update)) {
            changedEndpoints.add(mergeEntry(entry, merged));
        }
        entriesById.clear();
        entriesById.putAll(merged);
        listener.changed(fullSnapshot, changedEndpoints);
    }

    /** Merges an entry, which may contain only the changed fields; the other fields keep their values. */
    private EngineEndpoint mergeEntry(JsonNode entry, Map<String, ObjectNode> merged) {
        String id = JournalFormat.endpointId(entry);
        ObjectNode complete = (ObjectNode) entry;
        if (merged.containsKey(id)) {
            complete = merged.get(id).deepCopy().setAll(complete);
        }
        EngineEndpoint endpoint = format.parseEndpoint(id, complete);
        if (endpoint.state() == EndpointState.GONE) {
            merged.remove(id);
        } else {
            merged.put(id, complete);
        }
        return endpoint;
    }
}
