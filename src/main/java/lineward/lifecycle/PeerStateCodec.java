package lineward.lifecycle;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The JSON form of {@link PeerState}. Processes of earlier and later versions read and write it too, so its
 * keys and types must not change. Stateless; may be used on any thread.
 */
final class PeerStateCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String WRITTEN_AT = "at";
    private static final String ENGINES = "engines";
    private static final String EXCLUDED = "out";
    private static final String SINCE = "since";

    private PeerStateCodec() {}

    /** Returns the content of the file that stores this state. */
    static String encode(PeerState state) {
        ObjectNode root = JSON.createObjectNode().put(WRITTEN_AT, state.writtenAtMs());
        ObjectNode engines = root.putObject(ENGINES);
        for (MaintenanceCommand entry : state.commands()) {
            engines.putObject(entry.engine()).put(EXCLUDED, entry.excluded()).put(SINCE, entry.sinceMs());
        }
        return root.toString();
    }

    /**
     * Returns the state that this file content stores. Commands of an unexpected form are ignored.
     *
     * @throws JsonProcessingException if the content is not JSON
     */
    static PeerState decode(String content) throws JsonProcessingException {
        JsonNode root = JSON.readTree(content);
        List<MaintenanceCommand> commands = new ArrayList<>();
        for (Map.Entry<String, JsonNode> engine : root.path(ENGINES).properties()) {
            JsonNode excluded = engine.getValue().path(EXCLUDED);
            JsonNode since = engine.getValue().path(SINCE);
            if (excluded.isBoolean() && since.isNumber()) {
                commands.add(new MaintenanceCommand(engine.getKey(), excluded.asBoolean(), since.asDouble()));
            }
        }
        return new PeerState(root.path(WRITTEN_AT).asDouble(PeerState.LONG_AGO_MS), List.copyOf(commands));
    }
}
