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
 * The list of engines as the journal's events have made it: the last entry of each and the last event's
 * number.
 */
public final class EndpointList {
    /** Is notified of the complete list, or of what has changed. */
    @FunctionalInterface
    public interface Listener {
        /**
         * The list has changed.
         *
         * @param fullSnapshot whether engines that are not among the entries are gone
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
     * @param kinds names of machine kinds, in the order of the settings
     * @param zones names of zones, in the order of the settings
     */
    public EndpointList(List<String> kinds, List<String> zones, Listener listener) {
        this.format = new JournalFormat(kinds, zones);
        this.listener = listener;
    }

    /** Returns the number of the last event applied; 0 if none was. */
    public long lastEventNumber() {
        return lastEventNumber;
    }

    /**
     * Applies the events of a journal response; those applied before are ignored.
     *
     * @throws IllegalArgumentException if the response is not in the journal's form; nothing of the event at
     *     fault is applied
     */
    public void apply(JsonNode response) {
        for (JsonNode event : JournalFormat.events(response)) {
            long number = JournalFormat.eventNumber(event);
            if (number > lastEventNumber) {
                if (JournalFormat.hasEndpointUpdate(event)) {
                    applyUpdate(JournalFormat.endpointUpdate(event));
                }
                lastEventNumber = number;
            }
        }
    }

    private void applyUpdate(JsonNode update) {
        boolean fullSnapshot = JournalFormat.isFullSnapshot(update, entriesById.isEmpty());
        Map<String, ObjectNode> merged = new HashMap<>(fullSnapshot ? Map.of() : entriesById);
        List<EngineEndpoint> changed = new ArrayList<>();
        for (JsonNode entry : JournalFormat.entries(update)) {
            changed.add(mergeEntry(entry, merged));
        }
        entriesById.clear();
        entriesById.putAll(merged);
        listener.changed(fullSnapshot, changed);
    }

    /** A change may bring just the fields that differ: the others stay as they were. */
    private EngineEndpoint mergeEntry(JsonNode entry, Map<String, ObjectNode> merged) {
        String id = JournalFormat.endpointId(entry);
        ObjectNode complete = (ObjectNode) entry;
        if (merged.containsKey(id)) {
            complete = merged.get(id).deepCopy().setAll(complete);
        }
        EngineEndpoint endpoint = format.endpoint(id, complete);
        if (endpoint.state() == EndpointState.GONE) {
            merged.remove(id);
        } else {
            merged.put(id, complete);
        }
        return endpoint;
    }
}
