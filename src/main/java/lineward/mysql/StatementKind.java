package lineward.mysql;

import java.util.Locale;
import java.util.Set;
import lineward.core.SqlTokens;

/** What a statement asks for, as far as the front must know it before it sends it anywhere. */
sealed interface StatementKind {
    /** Changes nothing: may run again. */
    record Read() implements StatementKind {}

    /**
     * May change something: runs once at most.
     *
     * @param leavesTraces whether it may change the engine's session in a way that the front does not see:
     *     its connection is not for another client then
     */
    record Write(boolean leavesTraces) implements StatementKind {}

    /** Asks for warnings of the statement before, which ran on a connection that others use too. */
    record Warnings() implements StatementKind {}

    /** Changes nothing that the front does not keep anyhow: answered at once. */
    record Nothing() implements StatementKind {}

    /** Sets something for the session; {@link SessionSettings} tells whether it can be kept. */
    record Setting() implements StatementKind {}

    /** Chooses the schema of this session. */
    record Use(String schema) implements StatementKind {}

    /** Can't be kept across engines. */
    record Refused(Failure failure) implements StatementKind {}

    /** Words with which a statement begins that only reads. */
    Set<String> READS = Set.of("select", "show", "desc", "describe", "explain", "table", "values", "with", "help", "(");
    /** Words that make a statement more than a read, wherever they stand. */
    Set<String> WRITES = Set.of("insert", "update", "delete", "replace", "into", "lock", "share");
    /** Functions whose answer or effect belongs to one session at one engine. */
    Set<String> SESSION_FUNCTIONS = Set.of(
            "last_insert_id",
            "found_rows",
            "row_count",
            "get_lock",
            "release_lock",
            "release_all_locks",
            "is_used_lock",
            "is_free_lock",
            "connection_id");
    /** Words with which a statement begins that needs a session of its own. */
    Set<String> SESSION_WORDS =
            Set.of("prepare", "execute", "deallocate", "handler", "kill", "declare", "get", "signal", "resignal");
    /** Variables that tell of the statement before at one engine's connection, whosever it was. */
    Set<String> SESSION_VARIABLES = Set.of(
            "last_insert_id",
            "identity",
            "insert_id",
            "warning_count",
            "error_count",
            "rand_seed1",
            "rand_seed2",
            "pseudo_thread_id",
            "proxy_user",
            "external_user");
    /** Words with which a statement begins that leaves its session at the engine as it was. */
    Set<String> TRACELESS = Set.of(
            "select",
            "show",
            "desc",
            "describe",
            "explain",
            "table",
            "values",
            "with",
            "help",
            "(",
            "insert",
            "update",
            "delete",
            "replace",
            "truncate",
            "create",
            "alter",
            "drop",
            "rename",
            "analyze",
            "optimize",
            "check",
            "checksum",
            "repair",
            "grant",
            "revoke",
            "do",
            "load");

    /** Returns what the text asks for; what is not known to be a read counts as a write. */
    static StatementKind of(String text) {
        SqlTokens tokens = new SqlTokens(text);
        if (!tokens.next()) {
            return new Write(true);
        }
        String first = tokens.text().toLowerCase(Locale.ROOT);
        if (tokens.kind() == SqlTokens.Kind.NAME || tokens.kind() == SqlTokens.Kind.EXECUTABLE_COMMENT) {
            return new Write(true);
        }
        String second = tokens.next() ? tokens.text().toLowerCase(Locale.ROOT) : "";
        return switch (first) {
            case "use" -> new Use(second.isEmpty() ? "" : tokens.text());
            case "set" -> new Setting();
            case "begin", "savepoint", "xa", "lock", "unlock", "release" ->
                new Refused(Failure.noTransaction(first.toUpperCase(Locale.ROOT)));
            case "start" ->
                second.equals("transaction")
                        ? new Refused(Failure.noTransaction("START TRANSACTION"))
                        : new Write(true);
            case "commit" -> new Nothing();
            case "rollback" ->
                tokens.is("to") || tokens.is("work") && tokens.next() && tokens.is("to")
                        ? new Refused(Failure.noTransaction("ROLLBACK TO"))
                        : new Nothing();
            default ->
                SESSION_WORDS.contains(first)
                        ? new Refused(Failure.unsupported(first.toUpperCase(Locale.ROOT)))
                        : second.equals("temporary")
                                ? new Refused(Failure.unsupported("a temporary table"))
                                : first.equals("show")
                                                && Set.of("warnings", "errors").contains(second)
                                        ? new Warnings()
                                        : first.equals("show") && second.equals("count")
                                                ? new Refused(Failure.unsupported("a count of warnings"))
                                                : body(text, first);
        };
    }

    private static StatementKind body(String text, String first) {
        SqlTokens tokens = new SqlTokens(text);
        boolean read = READS.contains(first);
        boolean traces = !TRACELESS.contains(first);
        boolean variable = false;
        String before = "";
        while (tokens.next()) {
            String word = tokens.kind() == SqlTokens.Kind.WORD ? tokens.text().toLowerCase(Locale.ROOT) : "";
            // REPLACE(…) and INSERT(…) are functions on strings: only the bare words write.
            read &= !WRITES.contains(before) || tokens.is("(") && !before.equals("into");
            if (tokens.is("(") && SESSION_FUNCTIONS.contains(before)) {
                return new Refused(Failure.unsupported(before.toUpperCase(Locale.ROOT) + "()"));
            }
            // One @ is a variable of the session, two are a setting, which any engine may be asked for.
            if (before.equals("@") && !word.isEmpty()) {
                return new Refused(Failure.unsupported("a user variable"));
            }
            variable &= tokens.is(".") || Set.of("session", "local").contains(word) || SESSION_VARIABLES.contains(word);
            if (variable && SESSION_VARIABLES.contains(word)) {
                return new Refused(Failure.unsupported("@@" + word));
            }
            before = tokens.is("@") ? before.equals("@") ? "@@" : "@" : word;
            variable |= before.equals("@@");
            boolean executable = tokens.kind() == SqlTokens.Kind.EXECUTABLE_COMMENT;
            read &= !executable;
            traces |= executable || word.equals("temporary");
        }
        return read && !WRITES.contains(before) ? new Read() : new Write(traces);
    }
}
