package lineward.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Pattern;
import lineward.core.EngineEndpoint;
import lineward.scheduling.EndpointState;

/**
 * The wire format of service discovery, which the platform calls the journal. Only this class contains the
 * names of its fields, its path and its states; other classes use the terms of service discovery. Immutable
 * and thread-safe.
 */
final class JournalFormat {
    private static final String EVENTS = "entries";
    private static final String EVENT_NUMBER = "pos";
    private static final String ENDPOINTS = "hosts";
    private static final String FULL_SNAPSHOT = "reset";
    private static final String ENTRIES = "instances";
    private static final String ENDPOINT_ID = "instanceId";
    private static final String ADDRESS = "hostPort";
    private static final String STATE = "lifecycle";
    private static final String KIND = "machineType";
    private static final String WEIGHT = "weight";
    private static final String STARTED_AT = "startedAtMs";
    private static final String ZONE = "zone";
    private static final String CELL = "cell";

    private static final String PATH = "/journal";
    private static final String AFTER_EVENT = "tail";
    private static final String TIMEOUT = "max_wait";
    private static final String ERROR_PREFIX = "journal: ";

    private static final double DEFAULT_WEIGHT = 1;
    private static final long NO_NUMBER = -1;
    private static final Pattern HOST_AND_PORT = Pattern.compile("[^\\s:]+:[0-9]{1,5}");

    private final List<String> engineKinds;
    private final List<String> zones;

    /** Creates a format with the names of the engine kinds and zones, in the order of the settings. */
    JournalFormat(List<String> engineKinds, List<String> zones) {
        this.engineKinds = engineKinds;
        this.zones = zones;
    }

    /**
     * Returns the URI of a poll for the events after the given event number.
     *
     * @param timeoutMs time after which the service responds even if there is no event
     */
    static String pollUri(long afterEvent, int timeoutMs) {
        return PATH + '?' + AFTER_EVENT + '=' + afterEvent + '&' + TIMEOUT + '=' + timeoutMs;
    }

    /** Returns the events of a response, in order. */
    static JsonNode events(JsonNode response) {
        JsonNode events = response.path(EVENTS);
        if (!events.isArray() || !response.path(EVENT_NUMBER).isIntegralNumber()) {
            throw invalid("no pos or entries");
        }
        return events;
    }

    /** Returns the number of an event. */
    static long eventNumber(JsonNode event) {
        long number = event.path(EVENT_NUMBER).asLong(NO_NUMBER);
        if (number < 0) {
            throw invalid("event without a number");
        }
        return number;
    }

    /** Returns whether an event contains an endpoint update. */
    static boolean hasEndpointUpdate(JsonNode event) {
        return event.has(ENDPOINTS);
    }

    /** Returns the endpoint update of an event. */
    static JsonNode endpointUpdate(JsonNode event) {
        return event.get(ENDPOINTS);
    }

    /** Returns whether an update is a full snapshot; {@code byDefault} if the field is missing. */
    static boolean isFullSnapshot(JsonNode update, boolean byDefault) {
        return update.path(FULL_SNAPSHOT).asBoolean(byDefault);
    }

    /** Returns the entries of an update, one for each endpoint. */
    static JsonNode entries(JsonNode update) {
        return update.path(ENTRIES);
    }

    /** Returns the id of the endpoint that an entry describes. */
    static String endpointId(JsonNode entry) {
        String id = entry.path(ENDPOINT_ID).asText("");
        if (id.isEmpty() || !(entry instanceof ObjectNode)) {
            throw invalid("instance without an id");
        }
        return id;
    }

    /** Parses a complete entry into an endpoint. */
    EngineEndpoint parseEndpoint(String id, JsonNode entry) {
        String address = entry.path(ADDRESS).asText("");
        if (!HOST_AND_PORT.matcher(address).matches()) {
            throw invalid("address of " + id + " can't be used");
        }
        return new EngineEndpoint(
                id,
                address,
                indexOrFirst(engineKinds, entry.path(KIND)),
                entry.path(WEIGHT).asDouble(DEFAULT_WEIGHT),
                entry.path(STARTED_AT).asDouble(0),
                parseState(id, entry),
                indexOrFirst(zones, entry.path(ZONE)),
                entry.path(CELL).asInt(0));
    }

    private static EndpointState parseState(String id, JsonNode entry) {
        return switch (entry.path(STATE).asText("")) {
            case "ready" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.GONE;
            default -> throw invalid("unknown state of " + id);
        };
    }

    /** Returns the index of a name in the settings, or 0 if it is unknown or missing. */
    private static int indexOrFirst(List<String> names, JsonNode name) {
        return Math.max(0, names.indexOf(name.asText()));
    }

    private static DiscoveryFormatException invalid(String problem) {
        return new DiscoveryFormatException(ERROR_PREFIX + problem);
    }
}
