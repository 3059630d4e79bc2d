package lineward.mysql;

import java.util.Locale;
import java.util.Set;
import lineward.core.SqlTokens;

/** Classifies one statement by its tokens; strings, quoted names and comments are told apart from words. */
final class StatementClassifier {
    /** First words of statements that only read. */
    private static final Set<String> READ_KEYWORDS =
            Set.of("select", "show", "desc", "describe", "explain", "table", "values", "with", "help", "(");
    /** Words that make a statement more than a read, wherever they stand. */
    private static final Set<String> WRITE_KEYWORDS =
            Set.of("insert", "update", "delete", "replace", "into", "lock", "share");
    /** First words of statements that leave the engine's session as it was. */
    private static final Set<String> TRACELESS_KEYWORDS = Set.of(
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
    /** First words of statements that open or end a transaction, which may not span statements here. */
    private static final Set<String> TRANSACTION_KEYWORDS =
            Set.of("begin", "savepoint", "xa", "lock", "unlock", "release");
    /** First words of statements that need an engine's session of their own. */
    private static final Set<String> SESSION_KEYWORDS = Set.of(
            "prepare",
            "execute",
            "deallocate",
            "handler",
            "kill",
            "declare", // and the other parts of a stored program
            "get",
            "signal",
            "resignal");
    /** Functions whose answer or effect belongs to one session at one engine. */
    private static final Set<String> SESSION_FUNCTIONS = Set.of(
            "last_insert_id",
            "found_rows",
            "row_count",
            "get_lock",
            "release_lock",
            "release_all_locks",
            "is_used_lock",
            "is_free_lock",
            "connection_id");
    /** Variables that describe the statement before on one engine's connection, whichever client sent it. */
    private static final Set<String> SESSION_VARIABLES = Set.of(
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

    private static final Set<String> WARNING_LISTS = Set.of("warnings", "errors");
    private static final String USER_VARIABLE_SIGN = "@";
    private static final String SYSTEM_VARIABLE_SIGN = "@@";

    private final SqlTokens tokens;
    private boolean onlyReads;
    private boolean leavesTraces;
    /** The word, or the sign of a variable, before the present token; empty for any other token. */
    private String previous = "";

    private StatementClassifier(String text, String firstWord) {
        tokens = new SqlTokens(text);
        onlyReads = READ_KEYWORDS.contains(firstWord);
        leavesTraces = !TRACELESS_KEYWORDS.contains(firstWord);
    }

    static StatementKind classify(String text) {
        SqlTokens tokens = new SqlTokens(text);
        if (!tokens.next() || isNameOrExecutableComment(tokens)) {
            return new StatementKind.Write(true);
        }
        String first = lowerCase(tokens);
        String second = tokens.next() ? lowerCase(tokens) : "";
        return switch (first) {
            case "use" -> new StatementKind.UseSchema(second.isEmpty() ? "" : tokens.text());
            case "set" -> new StatementKind.SetVariables();
            case "commit" -> new StatementKind.NoOperation();
            case "rollback" -> rollback(tokens);
            case "start" -> start(second);
            case "show" -> show(text, second);
            default -> classifyOther(text, first, second);
        };
    }

    private static boolean isNameOrExecutableComment(SqlTokens tokens) {
        return tokens.kind() == SqlTokens.Kind.NAME || tokens.kind() == SqlTokens.Kind.EXECUTABLE_COMMENT;
    }

    private static String lowerCase(SqlTokens tokens) {
        return tokens.text().toLowerCase(Locale.ROOT);
    }

    /** ROLLBACK TO, or ROLLBACK WORK TO, names a savepoint; any other form has nothing to undo. */
    private static StatementKind rollback(SqlTokens tokens) {
        boolean toSavepoint = tokens.is("to") || (tokens.is("work") && tokens.next() && tokens.is("to"));
        return toSavepoint ? noTransaction("ROLLBACK TO") : new StatementKind.NoOperation();
    }

    private static StatementKind start(String second) {
        if (second.equals("transaction")) {
            return noTransaction("START TRANSACTION");
        }
        return new StatementKind.Write(true);
    }

    private static StatementKind show(String text, String second) {
        if (second.equals("temporary")) {
            return temporaryTable();
        }
        if (WARNING_LISTS.contains(second)) {
            return new StatementKind.ShowWarnings();
        }
        if (second.equals("count")) {
            return unsupported("a count of warnings");
        }
        return new StatementClassifier(text, "show").classifyTokens();
    }

    private static StatementKind classifyOther(String text, String first, String second) {
        if (TRANSACTION_KEYWORDS.contains(first)) {
            return noTransaction(first.toUpperCase(Locale.ROOT));
        }
        if (SESSION_KEYWORDS.contains(first)) {
            return unsupported(first.toUpperCase(Locale.ROOT));
        }
        if (second.equals("temporary")) {
            return temporaryTable();
        }
        return new StatementClassifier(text, first).classifyTokens();
    }

    private StatementKind classifyTokens() {
        while (tokens.next()) {
            String word = tokens.kind() == SqlTokens.Kind.WORD ? lowerCase(tokens) : "";
            StatementKind rejection = rejectSessionState(word);
            if (rejection != null) {
                return rejection;
            }
            boolean executable = tokens.kind() == SqlTokens.Kind.EXECUTABLE_COMMENT;
            onlyReads &= !executable && !previousWordWrites();
            leavesTraces |= executable || word.equals("temporary");
            advance(word);
        }
        boolean endsInWriteKeyword = WRITE_KEYWORDS.contains(previous);
        if (onlyReads && !endsInWriteKeyword) {
            return new StatementKind.Read();
        }
        return new StatementKind.Write(leavesTraces);
    }

    /** REPLACE(…) and INSERT(…) are functions on strings: only the bare words write. */
    private boolean previousWordWrites() {
        boolean isFunction = tokens.is("(") && !previous.equals("into");
        return WRITE_KEYWORDS.contains(previous) && !isFunction;
    }

    /** Returns why the statement is not supported at this token; null if it may be. */
    private StatementKind rejectSessionState(String word) {
        if (tokens.is("(") && SESSION_FUNCTIONS.contains(previous)) {
            return unsupported(previous.toUpperCase(Locale.ROOT) + "()");
        }
        // One @ is a variable of the session, two are a setting, which any engine may be asked for.
        if (previous.equals(USER_VARIABLE_SIGN) && !word.isEmpty()) {
            return unsupported("a user variable");
        }
        return SESSION_VARIABLES.contains(word) ? unsupported(SYSTEM_VARIABLE_SIGN + word) : null;
    }

    private void advance(String word) {
        if (!tokens.is(USER_VARIABLE_SIGN)) {
            previous = word;
        } else {
            previous = previous.equals(USER_VARIABLE_SIGN) ? SYSTEM_VARIABLE_SIGN : USER_VARIABLE_SIGN;
        }
    }

    private static StatementKind temporaryTable() {
        return unsupported("a temporary table");
    }

    private static StatementKind unsupported(String what) {
        return new StatementKind.Rejected(Failure.unsupported(what));
    }

    private static StatementKind noTransaction(String what) {
        return new StatementKind.Rejected(Failure.noTransaction(what));
    }
}
