package lineward.app;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import lineward.mysql.MysqlConfig;
import lineward.scheduling.EndpointState;
import lineward.spool.SpoolLimits;

/** The file that configures the MySQL front; its engines may change while the program runs. */
final class MysqlFile {
    private static final long MB = 1 << 20;
    /** Part of the heap that results may take where the file says nothing. */
    private static final int HEAP_PART = 4;
    /** Part of an attempt's time for which its result is held back, so that it may still be tried again. */
    private static final double HOLD_PART = 0.5;

    private final Path path;
    private FileTime readAt;

    MysqlFile(Path path) {
        this.path = path;
    }

    /** Returns whether the file has been written since it was last read. */
    boolean hasChanged() {
        try {
            return !Files.getLastModifiedTime(path).equals(readAt);
        } catch (IOException e) {
            return false;
        }
    }

    /** @throws ConfigException with one plain line if the file can't be used */
    MysqlConfig read() {
        try {
            readAt = Files.getLastModifiedTime(path);
            JsonNode root = new TomlMapper().readTree(Files.readString(path));
            FileSchema.check("mysql.schema.json", root);
            return translate(root);
        } catch (JsonProcessingException e) {
            throw new ConfigException(path + " is not TOML: line "
                    + (e.getLocation() == null ? "?" : e.getLocation().getLineNr()));
        } catch (IOException e) {
            throw new ConfigException(path + " can't be read");
        } catch (IllegalArgumentException e) {
            throw new ConfigException(path + ": " + e.getMessage());
        }
    }

    private static MysqlConfig translate(JsonNode root) {
        InetSocketAddress listen = root.hasNonNull("listen")
                ? Config.address("listen", root.get("listen").asText())
                : null;
        JsonNode limits = root.path("limits");
        MysqlConfig.Bounds bounds = new MysqlConfig.Bounds(
                positive(limits, "clients", 200),
                positive(limits, "packet", 1 << 20),
                positive(limits, "statements", 256),
                positive(limits, "connections-per-engine", 16),
                positive(limits, "connect-timeout-ms", 1000),
                positive(limits, "idle-ms", 60_000),
                positive(limits, "attempts", 3));
        Map<String, String> users = new HashMap<>();
        root.path("user")
                .forEach(u -> users.put(text(u, "name"), u.path("password").asText("")));
        List<MysqlConfig.Engine> engines = new ArrayList<>();
        for (JsonNode e : root.path("engine")) {
            String name = text(e, "name");
            require(engines.stream().noneMatch(other -> other.name().equals(name)), "two engines " + name);
            engines.add(new MysqlConfig.Engine(
                    name,
                    Config.address("engine " + name, text(e, "address")),
                    text(e, "user"),
                    e.path("password").asText(""),
                    positive(e, "cores", 8),
                    condition(e.path("state").asText("ready"))));
        }
        List<MysqlConfig.QueryClass> classes = new ArrayList<>();
        root.path("class").forEach(c -> classes.add(queryClass(c)));
        require(
                listen == null || !users.isEmpty() && !engines.isEmpty() && !classes.isEmpty(),
                "a front that listens needs a user, an engine and a class");
        return new MysqlConfig(listen, bounds, users, engines, classes, spooling(root.path("spool")));
    }

    private static MysqlConfig.Spooling spooling(JsonNode spool) {
        long heapMb = Math.max(4, Runtime.getRuntime().maxMemory() / MB);
        long memory = MB * positive(spool, "memory-mb", (int) Math.min(1024, heapMb / HEAP_PART));
        String folder = spool.path("folder").asText("");
        long file = folder.isEmpty() ? 0 : MB * positive(spool, "file-mb", 1024);
        long all = memory + file;
        require(memory < MB * heapMb, "memory-mb of the spool is more than the heap");
        return new MysqlConfig.Spooling(
                new SpoolLimits(
                        memory,
                        file,
                        folder.isEmpty() ? 0 : positive(spool, "files", 1000),
                        positive(spool, "results", 10_000),
                        MB * positive(spool, "user-mb", (int) Math.max(1, all / MB / 2)),
                        MB * positive(spool, "result-mb", (int) Math.max(1, all / MB / 2)),
                        MB * positive(spool, "hold-mb", (int) Math.max(1, memory / MB / 4)),
                        HOLD_PART,
                        1000.0 * positive(spool, "lease-s", 60),
                        1000.0 * positive(spool, "key-lease-s", 300)),
                folder.isEmpty() ? null : Path.of(folder));
    }

    private static MysqlConfig.QueryClass queryClass(JsonNode c) {
        try {
            return new MysqlConfig.QueryClass(
                    text(c, "name"),
                    Pattern.compile(c.path("match").asText(""), Pattern.CASE_INSENSITIVE | Pattern.DOTALL),
                    positive(c, "aim-ms", 500),
                    positive(c, "deadline-ms", 2500),
                    positive(c, "worth", 1),
                    positive(c, "threads", 1));
        } catch (PatternSyntaxException e) {
            throw new IllegalArgumentException("match of a class is no regular expression");
        }
    }

    private static EndpointState condition(String word) {
        return switch (word) {
            case "ready" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.GONE;
            default -> throw new IllegalArgumentException("unknown state " + word);
        };
    }

    private static String text(JsonNode node, String name) {
        String value = node.path(name).asText("");
        require(!value.isEmpty(), name + " is missing");
        return value;
    }

    private static int positive(JsonNode node, String name, int fallback) {
        JsonNode value = node.path(name);
        require(value.isMissingNode() || value.isInt() && value.asInt() > 0, name + " is no positive number");
        return value.asInt(fallback);
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new IllegalArgumentException(otherwise);
        }
    }
}
