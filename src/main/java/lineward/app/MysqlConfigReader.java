package lineward.app;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import lineward.mysql.MysqlConfig;
import lineward.mysql.engine.EngineConfig;
import lineward.scheduling.EndpointState;
import lineward.spool.SpoolLimits;

/** Converts the content of the MySQL file. Only this class contains the keys and defaults of the file. */
final class MysqlConfigReader {
    private static final long BYTES_PER_MB = 1 << 20;
    private static final double MS_PER_SECOND = 1000;

    private static final int DEFAULT_MAX_CLIENTS = 200;
    private static final int DEFAULT_MAX_PACKET_BYTES = 1 << 20;
    private static final int DEFAULT_MAX_STATEMENTS = 256;
    private static final int DEFAULT_CONNECTIONS_PER_ENGINE = 16;
    private static final int DEFAULT_CONNECT_TIMEOUT_MS = 1000;
    private static final int DEFAULT_IDLE_MS = 60_000;
    private static final int DEFAULT_MAX_ATTEMPTS = 3;
    private static final int DEFAULT_ENGINE_CORES = 8;
    private static final int DEFAULT_OBJECTIVE_MS = 500;
    private static final int DEFAULT_DEADLINE_MS = 2500;

    /** Heap size that is assumed if the JVM reports less. */
    private static final int MIN_HEAP_MB = 4;
    /** By default the spool's memory is the heap divided by this; the rest is for requests. */
    private static final int SPOOL_HEAP_DIVISOR = 4;

    private static final int MAX_DEFAULT_SPOOL_MEMORY_MB = 1024;
    private static final int DEFAULT_SPOOL_FILE_MB = 1024;
    private static final int DEFAULT_SPOOL_FILES = 1000;
    private static final int DEFAULT_SPOOL_RESULTS = 10_000;
    /** By default one user, and one result, may use half of the spool, so that neither can fill it. */
    private static final int USER_OR_RESULT_DIVISOR = 2;
    /**
     * By default up to a quarter of the spool's memory buffers a result before its first row is sent; until
     * then a failed attempt can be retried.
     */
    private static final int RESPONSE_BUFFER_DIVISOR = 4;
    /**
     * Fraction of an attempt's timeout after which the first row is sent even if the result is incomplete.
     */
    private static final double RESPONSE_DELAY_RATIO = 0.5;

    private static final int DEFAULT_LEASE_S = 60;
    private static final int DEFAULT_KEY_LEASE_S = 300;

    /** The open statements may use the heap divided by this, and the prepared ones as much again. */
    private static final int STATEMENT_HEAP_DIVISOR = 8;
    /** Incomplete replies of engines are on the heap and may use at most the heap divided by this. */
    private static final int REPLY_HEAP_DIVISOR = 8;
    /** A receive buffer may be twice as large as the packet, as it grows by doubling. */
    private static final long RECEIVE_BUFFER_GROWTH = 2;

    private MysqlConfigReader() {}

    /** Returns the configuration; throws a {@link ConfigException} that names the first invalid value. */
    static MysqlConfig read(ConfigNode root) {
        ConfigNode listen = root.member("listen");
        InetSocketAddress address = listen.isPresent() ? listen.address() : null;
        MysqlConfig.Limits bounds = bounds(root.member("limits"));
        Map<String, String> users = users(root.member("user"));
        List<EngineConfig> engines = engines(root.member("engine"));
        List<MysqlConfig.QueryClass> classes = classes(root.member("class"));
        boolean canServe = !users.isEmpty() && !engines.isEmpty() && !classes.isEmpty();
        if (address != null && !canServe) {
            String allowed = "an address with at least one of each";
            throw listen.invalid("needs a user, an engine and a class", allowed);
        }
        MysqlConfig.MemoryLimits memory = memoryLimits(bounds.maxPacketBytes());
        MysqlConfig.SpoolConfig spool = spooling(root.member("spool"));
        return new MysqlConfig(address, bounds, memory, users, engines, classes, spool);
    }

    /** Returns limits within which at least one packet of the maximum size can be received and executed. */
    private static MysqlConfig.MemoryLimits memoryLimits(int maxPacketBytes) {
        long statementBytes = Runtime.getRuntime().maxMemory() / STATEMENT_HEAP_DIVISOR;
        return new MysqlConfig.MemoryLimits(
                Math.max(BufferMemory.receiveBytes(), RECEIVE_BUFFER_GROWTH * maxPacketBytes),
                Math.max(statementBytes, maxPacketBytes),
                statementBytes,
                Runtime.getRuntime().maxMemory() / REPLY_HEAP_DIVISOR,
                BufferMemory.unreadBytes());
    }

    private static MysqlConfig.Limits bounds(ConfigNode limits) {
        return new MysqlConfig.Limits(
                limits.member("clients").positiveInt(DEFAULT_MAX_CLIENTS),
                limits.member("packet").positiveInt(DEFAULT_MAX_PACKET_BYTES),
                limits.member("statements").positiveInt(DEFAULT_MAX_STATEMENTS),
                limits.member("connections-per-engine").positiveInt(DEFAULT_CONNECTIONS_PER_ENGINE),
                limits.member("connect-timeout-ms").positiveInt(DEFAULT_CONNECT_TIMEOUT_MS),
                limits.member("idle-ms").positiveInt(DEFAULT_IDLE_MS),
                limits.member("attempts").positiveInt(DEFAULT_MAX_ATTEMPTS));
    }

    private static Map<String, String> users(ConfigNode list) {
        Map<String, String> passwords = new HashMap<>();
        for (ConfigNode user : list.elements()) {
            passwords.put(
                    user.member("name").requiredText(), user.member("password").text(""));
        }
        return passwords;
    }

    private static List<EngineConfig> engines(ConfigNode list) {
        List<EngineConfig> engines = new ArrayList<>();
        Set<String> names = new HashSet<>();
        for (ConfigNode engine : list.elements()) {
            ConfigNode name = engine.member("name");
            if (!names.add(name.requiredText())) {
                throw name.invalid("is the name of two engines", "a unique name for each engine");
            }
            engines.add(new EngineConfig(
                    name.requiredText(),
                    engine.member("address").address(),
                    engine.member("user").requiredText(),
                    engine.member("password").text(""),
                    engine.member("cores").positiveInt(DEFAULT_ENGINE_CORES),
                    state(engine.member("state"))));
        }
        return engines;
    }

    private static EndpointState state(ConfigNode state) {
        return switch (state.text("ready")) {
            case "ready" -> EndpointState.READY;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.GONE;
            default -> throw state.invalid("is an unknown state", "ready, draining or gone");
        };
    }

    private static List<MysqlConfig.QueryClass> classes(ConfigNode list) {
        List<MysqlConfig.QueryClass> classes = new ArrayList<>();
        for (ConfigNode queryClass : list.elements()) {
            classes.add(new MysqlConfig.QueryClass(
                    queryClass.member("name").requiredText(),
                    pattern(queryClass.member("match")),
                    queryClass.member("aim-ms").positiveInt(DEFAULT_OBJECTIVE_MS),
                    queryClass.member("deadline-ms").positiveInt(DEFAULT_DEADLINE_MS),
                    queryClass.member("worth").positiveInt(1),
                    queryClass.member("threads").positiveInt(1)));
        }
        return classes;
    }

    private static Pattern pattern(ConfigNode match) {
        try {
            return Pattern.compile(match.text(""), Pattern.CASE_INSENSITIVE | Pattern.DOTALL);
        } catch (PatternSyntaxException e) {
            throw match.invalid("is not a regular expression", "a regular expression of java.util.regex", e);
        }
    }

    private static MysqlConfig.SpoolConfig spooling(ConfigNode spool) {
        String folder = spool.member("folder").text("");
        try {
            return new MysqlConfig.SpoolConfig(
                    spoolLimits(spool, !folder.isEmpty()), folder.isEmpty() ? null : Path.of(folder));
        } catch (IllegalArgumentException e) {
            throw spool.invalid("can't be used: " + e.getMessage(), "consistent limits", e);
        }
    }

    private static SpoolLimits spoolLimits(ConfigNode spool, boolean usesFiles) {
        long heapMb = Math.max(MIN_HEAP_MB, Runtime.getRuntime().maxMemory() / BYTES_PER_MB);
        int defaultMemoryMb = (int) Math.min(MAX_DEFAULT_SPOOL_MEMORY_MB, heapMb / SPOOL_HEAP_DIVISOR);
        long memoryMb = spool.member("memory-mb").positiveInt(defaultMemoryMb);
        long fileMb = usesFiles ? spool.member("file-mb").positiveInt(DEFAULT_SPOOL_FILE_MB) : 0;
        if (memoryMb >= heapMb) {
            throw spool.member("memory-mb").invalid("does not fit into the heap", "less than " + heapMb);
        }
        int userOrResultMb = atLeastOne((memoryMb + fileMb) / USER_OR_RESULT_DIVISOR);
        int responseBufferMb = atLeastOne(memoryMb / RESPONSE_BUFFER_DIVISOR);
        return new SpoolLimits(
                BYTES_PER_MB * memoryMb,
                BYTES_PER_MB * fileMb,
                usesFiles ? spool.member("files").positiveInt(DEFAULT_SPOOL_FILES) : 0,
                spool.member("results").positiveInt(DEFAULT_SPOOL_RESULTS),
                BYTES_PER_MB * spool.member("user-mb").positiveInt(userOrResultMb),
                BYTES_PER_MB * spool.member("result-mb").positiveInt(userOrResultMb),
                BYTES_PER_MB * spool.member("hold-mb").positiveInt(responseBufferMb),
                RESPONSE_DELAY_RATIO,
                MS_PER_SECOND * spool.member("lease-s").positiveInt(DEFAULT_LEASE_S),
                MS_PER_SECOND * spool.member("key-lease-s").positiveInt(DEFAULT_KEY_LEASE_S));
    }

    private static int atLeastOne(long megabytes) {
        return (int) Math.max(1, megabytes);
    }
}
