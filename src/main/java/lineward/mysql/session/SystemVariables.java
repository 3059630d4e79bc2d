package lineward.mysql.session;

import java.util.Map;
import java.util.Set;
import lineward.mysql.wire.Handshake;

/** The system variables that a client may set, and the defaults that the front end reports to clients. */
final class SystemVariables {
    /** Variables that are set on an engine's connection before a client's statement. */
    static final Set<String> FORWARDED = Set.of(
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
    /** Variables that concern only the client's own connection and are not forwarded to engines. */
    static final Set<String> LOCAL = Set.of(
            "wait_timeout",
            "interactive_timeout",
            "session_track_schema",
            "session_track_system_variables",
            "session_track_state_change",
            "session_track_gtids",
            "session_track_transaction_info",
            "net_buffer_length");
    /** Values of variables that a client has not set; engines must run with MySQL's defaults. */
    static final Map<String, String> DEFAULTS = Map.ofEntries(
            Map.entry("auto_increment_increment", "1"),
            Map.entry("auto_increment_offset", "1"),
            Map.entry("autocommit", "1"),
            Map.entry("character_set_client", "utf8mb4"),
            Map.entry("character_set_connection", "utf8mb4"),
            Map.entry("character_set_results", "utf8mb4"),
            Map.entry("character_set_server", "utf8mb4"),
            Map.entry("character_set_database", "utf8mb4"),
            Map.entry("collation_server", "utf8mb4_0900_ai_ci"),
            Map.entry("collation_connection", "utf8mb4_0900_ai_ci"),
            Map.entry("collation_database", "utf8mb4_0900_ai_ci"),
            Map.entry("init_connect", ""),
            Map.entry("interactive_timeout", "28800"),
            Map.entry("license", "GPL"),
            Map.entry("lower_case_table_names", "0"),
            Map.entry("max_allowed_packet", "67108864"),
            Map.entry("net_write_timeout", "60"),
            Map.entry("net_read_timeout", "30"),
            Map.entry("net_buffer_length", "16384"),
            Map.entry("performance_schema", "0"),
            Map.entry("have_query_cache", "NO"),
            Map.entry("query_cache_size", "0"),
            Map.entry("query_cache_type", "OFF"),
            Map.entry(
                    "sql_mode",
                    "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,NO_ZERO_DATE,"
                            + "ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION"),
            Map.entry("system_time_zone", "UTC"),
            Map.entry("time_zone", "SYSTEM"),
            Map.entry("transaction_isolation", "REPEATABLE-READ"),
            Map.entry("tx_isolation", "REPEATABLE-READ"),
            Map.entry("transaction_read_only", "0"),
            Map.entry("tx_read_only", "0"),
            Map.entry("wait_timeout", "28800"),
            Map.entry("version", Handshake.SERVER_VERSION),
            Map.entry("version_comment", "lineward"),
            Map.entry("lc_time_names", "en_US"),
            Map.entry("sql_select_limit", "18446744073709551615"),
            Map.entry("innodb_lock_wait_timeout", "50"),
            Map.entry("lock_wait_timeout", "31536000"),
            Map.entry("foreign_key_checks", "1"),
            Map.entry("unique_checks", "1"),
            Map.entry("sql_auto_is_null", "0"),
            Map.entry("sql_safe_updates", "0"),
            Map.entry("sql_notes", "1"),
            Map.entry("default_storage_engine", "InnoDB"),
            Map.entry("session_track_schema", "1"),
            Map.entry("session_track_system_variables", ""),
            Map.entry("session_track_state_change", "0"),
            Map.entry("session_track_gtids", "OFF"),
            Map.entry("session_track_transaction_info", "OFF"),
            Map.entry("max_execution_time", "0"),
            Map.entry("read_only", "0"),
            Map.entry("super_read_only", "0"),
            Map.entry("innodb_read_only", "0"),
            Map.entry("have_ssl", "DISABLED"),
            Map.entry("have_openssl", "DISABLED"));

    private SystemVariables() {}

    static boolean isSupported(String name) {
        return FORWARDED.contains(name) || LOCAL.contains(name);
    }
}
