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
import lineward.scheduling.SchedulerSettings;
import lineward.scheduling.simulator.InputException;
import lineward.scheduling.simulator.SettingsReader;

/**
 * The configuration file of the platform, in JSON. Only this class contains its keys, which the platform
 * defines.
 */
final class PlatformConfigFile {
    private static final int SEED_RADIX = 16;
    private static final int DEFAULT_MEMORY_MB = 192;
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 250;
    private static final double DEFAULT_ENGINE_IDLE_TIMEOUT_MS = 30_000;
    private static final int DEFAULT_ATTEMPTS_PER_CONNECTION = 100;

    private final String path;

    /**
     * Creates a reader of the file.
     *
     * @param path path of the file; null or blank if the environment names none, in which case {@link #read}
     *     fails
     */
    PlatformConfigFile(String path) {
        this.path = path;
    }

    /**
     * Reads the current content of the file; may be called on any thread.
     *
     * @throws ConfigException with a message of one line if the file can't be used
     */
    PlatformConfig read() {
        ConfigNode root = ConfigNode.root(path, parse());
        ConfigNode settings = root.member("settings");
        if (!settings.value().isObject()) {
            throw ConfigException.unusable(path + " has no settings object");
        }
        InetSocketAddress listen = root.member("listen").address();
        long seed = seed(root.member("seed"));
        PlatformConfig.Resources resources = resources(root.member("limits"));
        String discovery = discovery(root.member("journal"));
        ConfigNode admin = root.member("management");
        InetSocketAddress adminAddress = admin.isPresent() ? admin.address() : null;
        PlatformConfig.Gossip gossip = gossip(root);
        SchedulerSettings schedulerSettings = schedulerSettings(settings);
        return new PlatformConfig(
                root.member("name").text("lineward"),
                new PlatformConfig.Addresses(listen, discovery, adminAddress, gossip),
                seed,
                resources,
                engineConnections(settings.member("limits").value()),
                names(settings),
                schedulerSettings,
                root.member("known"));
    }

    private JsonNode parse() {
        if (path == null || path.isBlank()) {
            throw ConfigException.unusable("RELAY_CONFIG does not name a file");
        }
        try {
            return new ObjectMapper().readTree(Files.readString(Path.of(path)));
        } catch (JsonProcessingException e) {
            throw ConfigException.unusable(path + " is not JSON", e);
        } catch (IOException e) {
            throw ConfigException.unusable(path + " can't be read", e);
        }
    }

    private static PlatformConfig.Resources resources(ConfigNode limits) {
        return new PlatformConfig.Resources(
                limits.member("memory_mb").lenientPositiveInt(DEFAULT_MEMORY_MB),
                limits.member("sockets").lenientPositiveInt(DEFAULT_DESCRIPTORS));
    }

    private static PlatformConfig.EngineConnections engineConnections(JsonNode limits) {
        return new PlatformConfig.EngineConnections(
                limits.path("connect-timeout").asInt(DEFAULT_CONNECT_TIMEOUT_MS),
                limits.path("conn-idle").asDouble(DEFAULT_ENGINE_IDLE_TIMEOUT_MS),
                limits.path("streams-per-conn").asInt(DEFAULT_ATTEMPTS_PER_CONNECTION));
    }

    /** Returns null if the settings do not allow gossip, or the file has no listen address for it. */
    private static PlatformConfig.Gossip gossip(ConfigNode root) {
        ConfigNode limits = root.member("settings").member("limits");
        boolean isAllowed = limits.member("peer-messages").value().asBoolean(false);
        ConfigNode listen = root.member("peer_listen");
        if (!isAllowed || !listen.isPresent()) {
            return null;
        }
        Map<InetSocketAddress, Integer> peerNumbers = new HashMap<>();
        for (ConfigNode peer : root.member("peers").elements()) {
            peerNumbers.put(peer.address(), peerNumbers.size());
        }
        return new PlatformConfig.Gossip(
                listen.address(), peerNumbers, root.member("peers_all").address());
    }

    /**
     * Checks the address and returns it as text: the client of service discovery resolves it at each connect.
     */
    private static String discovery(ConfigNode address) {
        address.address();
        return address.text("");
    }

    private static long seed(ConfigNode seed) {
        try {
            return new BigInteger(seed.text("0"), SEED_RADIX).longValue();
        } catch (NumberFormatException e) {
            throw seed.invalid("is not a hexadecimal number", "hexadecimal digits", e);
        }
    }

    private static SchedulerSettings schedulerSettings(ConfigNode settings) {
        try {
            return SettingsReader.read(settings.value().toString());
        } catch (InputException e) {
            // The message already names the setting, the value found and the allowed values.
            throw ConfigException.unusable(settings.file() + ": settings: " + e.getMessage(), e);
        }
    }

    private static PlatformConfig.Names names(ConfigNode settings) {
        return new PlatformConfig.Names(
                names(settings.value().path("classes")),
                names(settings.value().path("tenants")),
                names(settings.value().path("skus")),
                names(settings.value().path("zones")));
    }

    /** Returns the names in a list of strings or of objects with a name. */
    private static List<String> names(JsonNode list) {
        List<String> names = new ArrayList<>();
        for (JsonNode element : list) {
            JsonNode name = element.isTextual() ? element : element.path("name");
            names.add(name.asText());
        }
        return names;
    }
}
