package lineward.mysql;

import java.util.Locale;
import java.util.Set;
import lineward.core.SqlTokens;

/** What a statement asks for, as far as the front must know it before it sends it anywhere. */
sealed interface StatementKind {
    /** Changes nothing: may run again. */
    record Read() implements StatementKind { }

    /** May change something: runs once at most. */
    record Write() implements StatementKind { }

    /** Changes nothing that the front does not keep anyhow: answered at once. */
    record Nothing() implements StatementKind { }

    /** Sets something for the session; {@link SessionSettings} tells whether it can be kept. */
    record Setting() implements StatementKind { }

    /** Chooses the schema of this session. */
    record Use(String schema) implements StatementKind { }

    /** Can't be kept across engines. */
    record Refused(Failure failure) implements StatementKind { }

    /** Words with which a statement begins that only reads. */
    Set<String> READS = Set.of("select", "show", "desc", "describe", "explain", "table", "values", "with",
            "help", "(");
    /** Words that make a statement more than a read, wherever they stand. */
    Set<String> WRITES = Set.of("insert", "update", "delete", "replace", "into", "lock", "share");
    /** Functions whose answer or effect belongs to one session at one engine. */
    Set<String> SESSION_FUNCTIONS = Set.of("last_insert_id", "found_rows", "row_count", "get_lock",
            "release_lock", "release_all_locks", "is_used_lock", "is_free_lock", "connection_id");
    /** Words with which a statement begins that needs a session of its own. */
    Set<String> SESSION_WORDS = Set.of("prepare", "execute", "deallocate", "handler", "kill", "declare");

    /** @return what the text asks for; what is not known to be a read counts as a write */
    static StatementKind of(String text) {
        SqlTokens tokens = new SqlTokens(text);
        if (!tokens.next()) {
            return new Write();
        }
        String first = tokens.text().toLowerCase(Locale.ROOT);
        if (tokens.kind() == SqlTokens.Kind.NAME || tokens.kind() == SqlTokens.Kind.EXECUTABLE_COMMENT) {
            return new Write();
        }
        String second = tokens.next() ? tokens.text().toLowerCase(Locale.ROOT) : "";
        return switch (first) {
            case "use" -> new Use(second.isEmpty() ? "" : tokens.text());
            case "set" -> new Setting();
            case "begin", "savepoint", "xa", "lock", "unlock", "release" -> new Refused(
                    Failure.noTransaction(first.toUpperCase(Locale.ROOT)));
            case "start" -> second.equals("transaction") ? new Refused(
                    Failure.noTransaction("START TRANSACTION")) : new Write();
            case "commit" -> new Nothing();
            case "rollback" -> tokens.is("to") || tokens.is("work") && tokens.next() && tokens.is("to")
                    ? new Refused(Failure.noTransaction("ROLLBACK TO")) : new Nothing();
            default -> SESSION_WORDS.contains(first)
                    ? new Refused(Failure.unsupported(first.toUpperCase(Locale.ROOT)))
                    : second.equals("temporary") ? new Refused(Failure.unsupported("a temporary table"))
                    : body(text, READS.contains(first));
        };
    }

    private static StatementKind body(String text, boolean beginsAsRead) {
        SqlTokens tokens = new SqlTokens(text);
        boolean read = beginsAsRead;
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
            before = tokens.is("@") ? before.equals("@") ? "@@" : "@" : word;
            read &= tokens.kind() != SqlTokens.Kind.EXECUTABLE_COMMENT;
        }
        return read && !WRITES.contains(before) ? new Read() : new Write();
    }
}
