package lineward.mysql;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import lineward.core.SqlTokens;

/**
 * The settings of one client's session: what it has set, as far as an engine must know it, and what it is
 * told when it asks. Statements may run on any engine; what differs from an engine's own settings is put on
 * its connection before them.
 */
final class SessionSettings {
    /** What can be kept for a session and put on any engine's connection. */
    private static final Set<String> KEPT = Set.of(
            "sql_mode",
            "time_zone",
            "sql_select_limit",
            "max_execution_time",
            "group_concat_max_len",
            "net_write_timeout",
            "net_read_timeout",
            "lock_wait_timeout",
            "innodb_lock_wait_timeout",
            "sql_safe_updates",
            "foreign_key_checks",
            "unique_checks",
            "sql_auto_is_null",
            "sql_notes",
            "optimizer_switch",
            "long_query_time",
            "max_join_size",
            "sql_big_selects",
            "lc_time_names",
            "div_precision_increment",
            "default_storage_engine",
            "collation_connection",
            "character_set_client",
            "character_set_connection",
            "character_set_results",
            "transaction_isolation",
            "tx_isolation",
            "sql_quote_show_create",
            "max_sort_length",
            "tmp_table_size",
            "max_heap_table_size");
    /**
     * What concerns the front's own connection with its client, or is reported by it: an engine need not
     * know.
     */
    private static final Set<String> OURS = Set.of(
            "wait_timeout",
            "interactive_timeout",
            "session_track_schema",
            "session_track_system_variables",
            "session_track_state_change",
            "session_track_gtids",
            "session_track_transaction_info",
            "net_buffer_length");
    /** Said where nothing was set; engines behind the front are expected to have the usual ones. */
    private static final Map<String, String> USUAL = usual();

    private static final int MOST_KEPT = 32;
    private static final int LONGEST_VALUE = 1024;

    /** One assignment; the value as it stands in a statement, quoted where it is a text. */
    record Assignment(String name, String value) {}

    /** What a client asks to be told. @param columns labels and values, in order; null value: NULL */
    record Reading(List<String> labels, List<String> values) {}

    /** What a client is told that asks for warnings: the engine's connection has had others since. */
    static final Reading NO_WARNINGS = new Reading(List.of("Level", "Code", "Message"), List.of());

    /** A statement that can't be carried out here; the message says which part. */
    static final class UnkeepableException extends Exception {
        private static final long serialVersionUID = 1L;

        UnkeepableException(String what) {
            super(what);
        }
    }

    private final Map<String, String> set = new TreeMap<>();
    private Map<String, String> view = Map.of();

    private static Map<String, String> usual() {
        Map<String, String> all = new HashMap<>();
        String[] pairs = {
            "auto_increment_increment",
            "1",
            "auto_increment_offset",
            "1",
            "autocommit",
            "1",
            "character_set_client",
            "utf8mb4",
            "character_set_connection",
            "utf8mb4",
            "character_set_results",
            "utf8mb4",
            "character_set_server",
            "utf8mb4",
            "character_set_database",
            "utf8mb4",
            "collation_server",
            "utf8mb4_0900_ai_ci",
            "collation_connection",
            "utf8mb4_0900_ai_ci",
            "collation_database",
            "utf8mb4_0900_ai_ci",
            "init_connect",
            "",
            "interactive_timeout",
            "28800",
            "license",
            "GPL",
            "lower_case_table_names",
            "0",
            "max_allowed_packet",
            "67108864",
            "net_write_timeout",
            "60",
            "net_read_timeout",
            "30",
            "net_buffer_length",
            "16384",
            "performance_schema",
            "0",
            "have_query_cache",
            "NO",
            "query_cache_size",
            "0",
            "query_cache_type",
            "OFF",
            "sql_mode",
            "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,NO_ZERO_DATE,"
                    + "ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION",
            "system_time_zone",
            "UTC",
            "time_zone",
            "SYSTEM",
            "transaction_isolation",
            "REPEATABLE-READ",
            "tx_isolation",
            "REPEATABLE-READ",
            "transaction_read_only",
            "0",
            "tx_read_only",
            "0",
            "wait_timeout",
            "28800",
            "version",
            MysqlServer.VERSION,
            "version_comment",
            "lineward",
            "lc_time_names",
            "en_US",
            "sql_select_limit",
            "18446744073709551615",
            "innodb_lock_wait_timeout",
            "50",
            "lock_wait_timeout",
            "31536000",
            "foreign_key_checks",
            "1",
            "unique_checks",
            "1",
            "sql_auto_is_null",
            "0",
            "sql_safe_updates",
            "0",
            "sql_notes",
            "1",
            "default_storage_engine",
            "InnoDB",
            "session_track_schema",
            "1",
            "session_track_system_variables",
            "",
            "session_track_state_change",
            "0",
            "session_track_gtids",
            "OFF",
            "session_track_transaction_info",
            "OFF",
            "max_execution_time",
            "0",
            "read_only",
            "0",
            "super_read_only",
            "0",
            "innodb_read_only",
            "0",
            "have_ssl",
            "DISABLED",
            "have_openssl",
            "DISABLED"
        };
        for (int i = 0; i < pairs.length; i += 2) {
            all.put(pairs[i], pairs[i + 1]);
        }
        return Map.copyOf(all);
    }

    /** Returns the settings that an engine's connection must have, by name; does not change later. */
    Map<String, String> forEngines() {
        return view;
    }

    /** Forgets all that was set. */
    void reset() {
        set.clear();
        view = Map.of();
    }

    /** Returns the statement that takes a connection from the one to the other. */
    static String change(Map<String, String> from, Map<String, String> to) {
        List<String> parts = new ArrayList<>();
        from.keySet().stream()
                .filter(name -> !to.containsKey(name))
                .sorted()
                .forEach(name -> parts.add("SESSION " + name + "=DEFAULT"));
        to.forEach((name, value) -> {
            if (!value.equals(from.get(name))) {
                parts.add("SESSION " + name + '=' + value);
            }
        });
        return "SET " + String.join(", ", parts);
    }

    /**
     * Takes a SET statement.
     *
     * @throws UnkeepableException if it holds something that can't be kept; nothing of it is taken then
     */
    void take(String text) throws UnkeepableException {
        Map<String, String> next = new TreeMap<>(set);
        for (Assignment a : new SetReader(text, this::value).read()) {
            apply(next, a);
        }
        Map<String, String> engines = new TreeMap<>();
        next.forEach((name, value) -> {
            if (KEPT.contains(name)) {
                engines.put(name, value);
            }
        });
        if (next.size() > MOST_KEPT) {
            throw new UnkeepableException("more than " + MOST_KEPT + " settings");
        }
        set.clear();
        set.putAll(next);
        view = Map.copyOf(engines);
    }

    private void apply(Map<String, String> to, Assignment a) throws UnkeepableException {
        String value = a.value();
        if (value.length() > LONGEST_VALUE) {
            throw new UnkeepableException("a value of " + a.name() + " longer than " + LONGEST_VALUE);
        }
        switch (a.name()) {
            case "autocommit" -> {
                if (!Set.of("1", "on", "true", "default").contains(bare(value).toLowerCase(Locale.ROOT))) {
                    throw new UnkeepableException("autocommit=0");
                }
            }
            case "names" -> names(to, value);
            case "character_set_results" -> {
                String charset = bare(value).toLowerCase(Locale.ROOT);
                requireUtf8(charset.equals("null") || charset.equals("default") ? "utf8mb4" : charset);
                if (charset.equals("null")) {
                    to.put(a.name(), "NULL");
                } else {
                    to.remove(a.name());
                }
            }
            case "character_set_client", "character_set_connection" ->
                requireUtf8(bare(value).toLowerCase(Locale.ROOT));
            default -> {
                if (!KEPT.contains(a.name()) && !OURS.contains(a.name())) {
                    throw new UnkeepableException("SET " + a.name());
                }
                if (value.equalsIgnoreCase("default")) {
                    to.remove(a.name());
                } else {
                    to.put(a.name(), value);
                }
            }
        }
    }

    private static void names(Map<String, String> to, String value) throws UnkeepableException {
        String[] parts = value.split(" ", 2);
        requireUtf8(bare(parts[0]).toLowerCase(Locale.ROOT));
        to.remove("character_set_results");
        if (parts.length > 1) {
            to.put("collation_connection", parts[1]);
        }
    }

    /** Every connection of the front to an engine speaks utf8mb4, and texts pass as the bytes that came. */
    private static void requireUtf8(String charset) throws UnkeepableException {
        if (!Set.of("utf8mb4", "utf8", "utf8mb3", "default").contains(charset)) {
            throw new UnkeepableException("the character set " + charset);
        }
    }

    private static String bare(String value) {
        return value.length() > 1 && (value.startsWith("'") || value.startsWith("\""))
                ? value.substring(1, value.length() - 1)
                : value;
    }

    /** Returns what a client is told of a variable, or null where only an engine knows it. */
    String value(String name) {
        String value = set.get(name);
        if (value != null) {
            return value.equals("NULL") ? "" : bare(value);
        }
        return USUAL.get(name);
    }

    /** Returns what a statement that reads variables alone is told, or null if it is no such statement. */
    Reading read(String text) {
        SqlTokens tokens = new SqlTokens(text);
        if (!tokens.next() || !tokens.is("select")) {
            return null;
        }
        Reading reading = new Reading(new ArrayList<>(), new ArrayList<>());
        boolean more = tokens.next();
        while (more) {
            String label = variable(tokens);
            String value = label == null ? null : value(name(label));
            if (value == null) {
                return null;
            }
            more = tokens.next();
            if (more && tokens.is("as")) {
                if (!tokens.next()) {
                    return null;
                }
                label = tokens.text();
                more = tokens.next();
            } else if (more && tokens.kind() == SqlTokens.Kind.WORD && !tokens.is("limit")) {
                label = tokens.text();
                more = tokens.next();
            }
            reading.labels().add(label);
            reading.values().add(value);
            if (more && tokens.is("limit")) {
                return tokens.next() && tokens.is("1") && !tokens.next() ? reading : null;
            }
            if (more && !tokens.is(",")) {
                return tokens.is(";") && !tokens.next() ? reading : null;
            }
            more = more && tokens.next();
        }
        return reading.labels().isEmpty() ? null : reading;
    }

    /** Returns a variable as it is written, with its signs; null if none stands here. */
    private static String variable(SqlTokens tokens) {
        if (!tokens.is("@") || !tokens.next() || !tokens.is("@") || !tokens.next()) {
            return null;
        }
        String label = "@@" + tokens.text();
        if (tokens.is("session") || tokens.is("local") || tokens.is("global")) {
            if (!tokens.next() || !tokens.is(".") || !tokens.next()) {
                return null;
            }
            label += "." + tokens.text();
        }
        return label;
    }

    private static String name(String label) {
        return label.substring(Math.max(label.lastIndexOf('.') + 1, 2)).toLowerCase(Locale.ROOT);
    }
}
