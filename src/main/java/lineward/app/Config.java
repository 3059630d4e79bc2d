package lineward.app;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.math.BigInteger;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.simulator.SettingsReader;
import lineward.scheduling.simulator.WireException;

/**
 * What a front end is told at its start.
 *
 * @param journal address of the journal service
 * @param known the journal's events so far
 * @param management where operators call; null: nowhere
 * @param peers where front ends talk; null: nowhere
 * @param raw the settings as they came, for what the module does not need
 */
record Config(
        String name,
        InetSocketAddress listen,
        long seed,
        int memoryMb,
        int sockets,
        String journal,
        InetSocketAddress management,
        Peers peers,
        JsonNode known,
        SchedulerSettings settings,
        JsonNode raw) {
    private static final Pattern ADDRESS = Pattern.compile("([^\\s:]+):([0-9]{1,5})");
    private static final int HIGHEST_PORT = 65535;
    private static final int HEX = 16;

    /** @throws ConfigException with one plain line if the file can't be used */
    static Config read(String path) {
        if (path == null || path.isBlank()) {
            throw new ConfigException("RELAY_CONFIG names no file");
        }
        JsonNode root;
        try {
            root = new ObjectMapper().readTree(Files.readString(Path.of(path)));
        } catch (JsonProcessingException e) {
            throw new ConfigException(path + " is not JSON");
        } catch (IOException e) {
            throw new ConfigException(path + " can't be read");
        }
        if (!root.path("settings").isObject()) {
            throw new ConfigException(path + " holds no settings");
        }
        try {
            return new Config(
                    root.path("name").asText("lineward"),
                    address("listen", root.path("listen").asText("")),
                    seed(root.path("seed").asText("0")),
                    limit(root, "memory_mb", 192),
                    limit(root, "sockets", 1024),
                    journal(root),
                    root.hasNonNull("management")
                            ? address("management", root.get("management").asText())
                            : null,
                    peers(root),
                    root.path("known"),
                    SettingsReader.read(root.path("settings").toString()),
                    root.path("settings"));
        } catch (WireException e) {
            throw new ConfigException("settings: " + e.getMessage());
        }
    }

    /**
     * @param listen where the others' words arrive
     * @param numbers of the front ends of the tier, by the address from which each sends
     * @param all where a word to all others goes
     */
    record Peers(InetSocketAddress listen, Map<InetSocketAddress, Integer> numbers, InetSocketAddress all) {}

    private static Peers peers(JsonNode root) {
        if (!root.path("settings").path("limits").path("peer-messages").asBoolean(false)
                || !root.hasNonNull("peer_listen")) {
            return null;
        }
        Map<InetSocketAddress, Integer> numbers = new HashMap<>();
        for (JsonNode peer : root.path("peers")) {
            numbers.put(address("peers", peer.asText()), numbers.size());
        }
        return new Peers(
                address("peer_listen", root.get("peer_listen").asText()),
                numbers,
                address("peers_all", root.path("peers_all").asText("")));
    }

    private static int limit(JsonNode root, String name, int fallback) {
        int limit = root.path("limits").path(name).asInt(fallback);
        if (limit <= 0) {
            throw new ConfigException("limits: " + name + " is no positive number");
        }
        return limit;
    }

    private static String journal(JsonNode root) {
        String text = root.path("journal").asText("");
        address("journal", text);
        return text;
    }

    private static long seed(String text) {
        try {
            return new BigInteger(text, HEX).longValue();
        } catch (NumberFormatException e) {
            throw new ConfigException("seed is no hexadecimal number");
        }
    }

    static InetSocketAddress address(String what, String text) {
        Matcher parts = ADDRESS.matcher(text);
        if (!parts.matches() || Integer.parseInt(parts.group(2)) > HIGHEST_PORT) {
            throw new ConfigException(what + " is no address with a port");
        }
        return new InetSocketAddress(parts.group(1), Integer.parseInt(parts.group(2)));
    }

    /** Returns the names in a list of the settings, whose members are texts or objects with a name. */
    List<String> names(String list) {
        List<String> names = new ArrayList<>();
        raw.path(list)
                .forEach(n ->
                        names.add(n.isTextual() ? n.asText() : n.path("name").asText()));
        return names;
    }

    JsonNode limit(String name) {
        return raw.path("limits").path(name);
    }
}
